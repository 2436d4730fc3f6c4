// Package service defines the calls that entry hosts make to plain services, which
// are HTTP services that run no model, such as dispatch and stock: a [Call], and
// the headers of calls and responses. How a call is sent is left to package servicehttp, and whether it is
// sent again to package delivery.
package service
