// Package ingresshttp serves callers over HTTP and passes each request to a
// forwarder.
//
// A [Server] decodes requests, rejects those with ambiguous framing, and writes the
// responses. Which rule applies, and which replica answers, is decided by the
// [Forwarder]. [AuxiliaryServer] serves the host's other listeners, such as that for
// metrics.
//
// The server reads the bodies of requests itself, into buffers that are reserved in a
// [intake.Ledger] before. A body reaches the forwarder completely or not at all. Requests
// that their header alone rejects are answered before their body is read, and connections
// on which more than a short rest of a body is left are closed after the answer.
//
// The package is built on fasthttp, which does not detect that a caller disconnects
// while its request is being served. The connections of a [Listener] therefore read
// ahead during that time, so that the context of the forwarder is cancelled when the
// caller disconnects.
package ingresshttp
