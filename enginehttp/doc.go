// Package enginehttp is the HTTP client for model engines.
//
// A [Client] opens and cancels token streams, reads an engine's status and sends it
// orders. A token stream is a response of server-sent events, each of which has an
// [engine.Event] in JSON as its data. The client never retries. The
// kind of each [Error] tells whether the engine may have started the work; what to do
// then is left to the caller.
package enginehttp
