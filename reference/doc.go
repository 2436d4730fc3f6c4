// Package reference is the model that stand-in engines run: a chain of hashes
// in which each token depends on every layer run once, in order, and on the
// token before. A client that knows it can check every token of an answer.
package reference
