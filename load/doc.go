// Package load is an open-loop load generator that checks the responses. [Run]
// sends the requests described by [Options], a mix of non-idempotent calls, stock
// checks and completions, to entry hosts and returns a [Report]. Package history
// checks the calls and the tokens.
//
// Each request has an intended start time, and its latency is measured from that
// time. If the system stalls, the requests due during the stall are therefore still
// sent and measured, which avoids coordinated omission. Callers cache a list of
// addresses for as long as it is valid, try another address when one fails, and
// retry a non-idempotent call only with the same key.
package load
