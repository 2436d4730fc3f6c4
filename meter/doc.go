// Package meter records the metrics that a host exposes at /metrics.
//
// Customer and class labels are taken from callers and rules, so their
// cardinality is bounded: beyond the bound, values are recorded under "other".
package meter
