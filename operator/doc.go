// Package operator is the HTTP API for operators. It listens on an address of
// its own, and requires a client certificate unless that is a loopback address.
// The API is read-only: operators change what a host does only by publishing a
// rule file.
package operator
