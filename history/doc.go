// Package history checks recorded histories against the invariants of the system.
// A history consists of the requests that callers sent, the outcomes that were
// reported to them, and the calls that endpoints ran. [CheckCalls] finds calls
// that ran more than once or whose reported outcome is wrong, and [CheckStream]
// finds lost, repeated or wrong tokens. The tests and the load generator share
// these checks; recording the history is left to them.
package history
