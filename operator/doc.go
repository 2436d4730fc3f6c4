// Package operator is the HTTP surface towards operators. It listens apart
// from the callers' one, and beyond loopback it wants a client certificate.
// It shows what a host knows and does; what a host is to do is changed by
// publishing a rule file, and by nothing else.
package operator
