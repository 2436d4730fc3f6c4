// Package meter counts what a host does, for /metrics.
//
// Customers and classes come from callers and rules, so their number is
// bounded: beyond the bound, a customer is counted under "other".
package meter
