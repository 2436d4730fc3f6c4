// Package caller is the HTTP surface towards callers: which addresses to use,
// completions as streams of server-sent events, and calls of plain services.
//
// Every answer that is not whole says what became of the request, in the
// header Outcome and in a JSON body: "not_run" is a promise that the request
// did not run, "outcome_unknown" leaves it open, and "invalid" names the
// field that is wrong.
package caller
