// Package reference implements the deterministic model of the stand-in engines
// that tests use. It is a hash chain in which each token depends on the
// previous token and on each layer having been run exactly once and in order. A
// client that implements the same model can verify every token of an answer.
package reference
