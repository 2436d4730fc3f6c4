// Package history checks recorded histories against the invariants of the system.
// A history consists of the requests that callers sent, the outcomes that were
// reported to them, and the calls that endpoints ran. The tests and the load
// generator share these checks.
package history
