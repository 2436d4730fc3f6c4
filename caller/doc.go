// Package caller is the HTTP API for callers: the addresses to use, completions as
// streams of server-sent events, and calls of plain services.
//
// Every error response reports the outcome of the request in the header Outcome and
// in a JSON body: "not_run" guarantees that the request did not run,
// "outcome_unknown" means that it may have run, and "invalid" names the invalid
// field.
package caller
