// Package control decides which layers of which model version each engine should
// hold. It has two independent parts.
//
// [NextMoves] compares the reported state of the engines with the state that the
// rules specify, and returns the few changes with the greatest benefit: more layers
// that some engine holds, and then a greater flow, which is the number of tokens
// per second that the engines can carry through all layers (see [route.MaxFlow]).
// It is declarative and stateless, so a new holder of the lease continues from what
// the engines report. It never takes an engine out of service if the remaining ones
// could not serve the model, unless the operators change its role: during a
// rollout, either the old or the new version covers all layers at any time. A
// [Tracker] adds the orders that the reports do not show yet.
//
// [Cover] and [Repair] place the layers of one model on engines in several failure
// domains, both by the same cost: the shortage of capacity in each domain and in the whole
// fleet, now and after a loss. Cover assigns layers to free engines, and Repair changes an
// engine in service, which may load layers beside its own. A [RepairTimer] delays changes,
// because most engines that crash come back.
//
// It is up to the caller to ensure that only the holder of the lease gives orders,
// and to send them with its fencing token.
package control
