// Package control decides which layers of which model version each engine is to
// hold.
//
// [Next] compares what engines hold with what the rules ask for, and returns
// the few changes that bring the most now. It is declarative: it keeps no plan
// of its own, so that a new holder of the lease goes on from what the engines
// report. It never takes an engine out of service if what remains could not
// carry the model: while a version is rolled out, either the old one or the new
// one covers all layers at any time.
package control
