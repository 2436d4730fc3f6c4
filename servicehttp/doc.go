// Package servicehttp is the HTTP client for plain services, which run no model.
//
// A [Client] sends each call once. A call that has no response, or that the service
// reports as not run, fails with an *outcome.Error, whose kind tells whether the
// service may have run the call. Retries are left to package delivery.
package servicehttp
