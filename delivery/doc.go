// Package delivery answers calls of plain services, which run no model.
//
// A [Deliverer] answers a [Request] and returns an answer or an *outcome.Error.
//
// An idempotent call may be sent again, to another replica, until its deadline
// and within a retry budget. A non-idempotent call runs at most once: its key
// names one host, its home, and only the home sends the call, after it has claimed
// the key. Once the first byte may have been sent, the home sends the call again
// only if the endpoint certainly did not run it or honors keys, and no caller is
// told that the call did not run unless that is certain.
//
// Package claim keeps the keys and their results. Admission control, the choice of
// a replica and the transport are left to the [Dependencies].
package delivery
