// Package reference implements the model that the stand-in engines of the tests
// run. It is deterministic: each token is a hash of the previous token and of
// every layer in order, so that a layer that is skipped, repeated or out of order
// changes the token.
//
// An engine applies its layers with [ApplyLayer]. A test client computes the
// correct answer with [Tokens] and compares every token of the answer with it.
package reference
