// Package servicehttp is the HTTP client for plain services.
//
// Each call is sent once. A call that has no response fails with an
// *outcome.Error, whose kind tells whether the service may have run the call.
package servicehttp
