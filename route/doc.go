// Package route plans which endpoints run which layers of a model.
//
// An endpoint that holds a range of layers may run any part of it. A [Route]
// is a list of hops whose ranges tile all layers of one model version, in
// order, with no gap and no overlap; [Route.Check] is the only judge of that,
// and a [Planner] returns no route that fails it. A [Graph] of holdings is
// frozen, so that planning needs no lock.
package route
