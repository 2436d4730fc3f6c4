// Package enginehttp calls model engines over HTTP: it opens token streams
// over a route, cancels them, reads an engine's status and gives it orders.
package enginehttp
