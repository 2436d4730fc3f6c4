// Package platformhttp is the HTTP client for the platform, which keeps the log and
// the list of hosts.
//
// A [Client] appends to the log and reads it, and reads and extends the list of
// hosts. It never retries. The kind of each [Error] tells whether the request may
// have taken effect.
//
// An append whose response was lost may have taken effect. [Client.Append] then
// returns an error of [KindUnknown], and the writer searches the log for its
// record by ID.
package platformhttp
