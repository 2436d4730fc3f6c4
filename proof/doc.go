// Package proof holds the tests that run the whole system as separate
// processes, each host at a loopback address of its own: they kill, freeze,
// cut and stop it, and hold the history of what happened against what must
// always hold. There is no code beside the tests.
package proof
