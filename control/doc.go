// Package control decides which layers of which model version each engine should
// hold.
//
// [NextMoves] compares the reported state of the engines with the state that the
// rules specify, and returns the few changes with the greatest benefit. It is
// declarative and stateless, so a new holder of the lease continues from what the
// engines report. It never takes an engine out of service if the remaining ones
// could not serve the model: during a rollout, either the old or the new version
// covers all layers at any time.
package control
