// Package delivery answers calls of plain services.
//
// An idempotent call may be sent again, to another replica, until its deadline
// and within a retry budget. A non-idempotent call runs at most once: its key has
// one home, and only the home sends the call, after it has claimed the key. Once
// the first byte may have been sent, the home does not send the call again unless
// the endpoint certainly did not run it or honors keys, and no caller is told that
// it did not run.
package delivery
