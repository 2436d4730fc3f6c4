// Package pipeline selects the path of each stream through the engines that
// hold the layers of a model.
//
// Links between failure domains are shared by all streams and carry the
// activations of every token, so a path stays within one failure domain if any
// domain has all layers with free capacity. The capacity of an engine is its KV
// cache: a [Planner] counts what the streams of this host use of it, and assumes
// that the other hosts use as much.
package pipeline
