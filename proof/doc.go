// Package proof contains the end-to-end tests and benchmarks. They run the whole
// system as separate processes, each host at its own loopback address, inject
// crashes, hangs, link failures and graceful shutdowns, and check the recorded
// history against the system's invariants. The package has no other code.
package proof
