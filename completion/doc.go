// Package completion answers a prompt token by token and resumes after failures.
//
// An engine may hold only some layers of a model. A route names the engines, as
// hops, that together run all layers for one request. An attempt is one token
// stream over one route; if it fails, a further attempt, possibly over another
// route, generates the remaining tokens.
//
// [Progress] holds the tokens delivered to the caller and the number of the
// current attempt. It decides whether an event is the next token, a stale event,
// or a sign that the attempt has failed. A [Runner] plans a route, reads the
// stream, and starts the next attempt after the last delivered token, so that the
// caller receives each position exactly once.
//
// Admission control, the choice of the route and the transport to the engines are
// left to others.
package completion
