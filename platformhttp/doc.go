// Package platformhttp calls the platform over HTTP.
//
// An append whose answer was lost may have taken effect, so [Client.Append]
// reports that as [KindUnknown], and the writer finds its record again by ID.
package platformhttp
