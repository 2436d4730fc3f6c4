// Package proof contains the end-to-end tests and benchmarks, and no other code.
// A cluster runs the whole system as separate processes, each host at its own
// loopback address, with the stand-ins of package standin for the platform, the
// engines and the services. The tests generate load with package load, crash,
// suspend and drain hosts and disturb links according to a schedule, and check
// the recorded history against the system's invariants (package history).
package proof
