// Package platformhttp is the HTTP client for the platform.
//
// An append whose response was lost may have taken effect. [Client.Append] then
// returns an error of [KindUnknown], and the writer searches the log for its
// record by ID.
package platformhttp
