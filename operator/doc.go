// Package operator is the HTTP API for operators of one entry host. [NewApp]
// returns its routes, which answer from a [Host], and [Listen] opens its address.
// They show the state of the host ([Status]), how it would handle a request
// ([Explanation]), and its metrics.
//
// The API has an address of its own, and requires a client certificate unless
// that is a loopback address and the settings do not ask for one. It is
// read-only: operators change what a host does only by publishing a rule file.
package operator
