// Package enginehttp is the HTTP client for model engines: it opens and cancels
// token streams, reads an engine's status and sends it orders.
package enginehttp
