// Package servicehttp calls plain services over HTTP.
//
// A call is sent once. The error of a call that has no answer is an
// *outcome.Error, whose kind says whether the service can have run it.
package servicehttp
