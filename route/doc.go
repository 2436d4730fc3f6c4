// Package route plans which endpoints run which layers of a model.
//
// An endpoint that holds a range of layers can run any subrange of it. A [Route]
// is a list of hops whose ranges cover all layers of one model version in
// order, without gaps or overlaps. [Route.Check] verifies that, and the methods
// of [Graph] return no route that fails it. A Graph is immutable, so planning
// needs no lock.
package route
