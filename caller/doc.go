// Package caller is the HTTP API for callers: the addresses to use, completions as
// streams of server-sent events, and calls of plain services, which run no model.
// A host that serves this API is called an entry host.
//
// Operators define the models, the classes of calls and the rate limits of customers
// in a rule file, which package rule describes. A class maps a path to a plain
// service. The class of a completion is its model.
//
// A [Server] decodes and validates requests, and formats the responses. A [Gate] limits
// the completions that run at a time, a [Completer] runs them, a [Deliverer] delivers
// the calls, and an [EntryProvider] knows the addresses to use.
//
// Every error response reports the outcome of the request in the header Outcome and
// in a JSON body: "not_run" guarantees that the request did not run,
// "outcome_unknown" means that it may have run, and "invalid" names the invalid
// field.
package caller
