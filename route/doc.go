// Package route plans which endpoints run which layers of a model.
//
// A [Holding] describes the range of layers that one endpoint holds. The endpoint
// can run any subrange of it. A [Route] is a list of hops whose ranges cover all
// layers of one model version in order, without gaps or overlaps. A [Graph] has
// the holdings of one model version and finds routes through them:
//
//   - [Graph.Plan] returns the route with the least expected time for one
//     request, subject to its [Constraints].
//   - [Graph.Flow] splits the maximum flow, which is the highest throughput of
//     the endpoints in tokens per second, into routes, of which [Flow.Draw]
//     picks one at random for each request.
//   - [Graph.Cheapest] returns the cheapest route for the costs of a [Query],
//     which the caller computes.
//
// [Route.Check] verifies a route, and the methods of Graph return none that fails
// it. A Graph is immutable, so planning needs no lock. It is up to the caller to find
// out what the endpoints hold, to count the load of the routes that it uses, and to
// send the requests.
package route
