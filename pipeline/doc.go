// Package pipeline selects the path of each stream through the engines that
// hold the layers of a model.
//
// Links between failure domains are shared by all streams and carry the
// activations of every token, so a path stays within one failure domain if any
// domain has all layers with free capacity.
//
// A [Planner] selects the paths: [Planner.Path] returns the cheapest one for a
// [PathRequest] through the engines of a view, and [Planner.Reroute] returns
// another one for a running stream. The cost depends on the speed of the engines
// and on their load. The capacity of an engine is its KV cache: a Planner counts
// what the streams of this host use of it, and adds what the other hosts of the failure
// domain report to use ([OtherHosts]), or assumes that they use as much, unless the engine
// reported its utilization recently.
// A [ProgressTracker] locates the engines that stall a stream.
//
// Package route searches the graphs of engines. It is up to the caller to send and
// move the streams, and to pass on what engines report and which engines failed.
package pipeline
