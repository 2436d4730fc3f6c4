// Package delivery answers calls of plain services.
//
// An idempotent call may be sent again, to another replica, until its deadline
// and within a budget. A non-idempotent call runs at most once: its key has
// one home, and only the home sends it, after it has claimed the key. Once the
// first byte may have left, the home never sends it again, and no caller is
// told that it did not run.
package delivery
