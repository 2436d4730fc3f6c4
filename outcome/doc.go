// Package outcome says what became of a request: it was answered, it surely
// did not run, or nobody can tell.
//
// [NotRun] is a promise. It is given only when no byte of the request can have
// reached an endpoint, or when the endpoint itself said that it did not run
// it. Every doubt is [Unknown].
package outcome
