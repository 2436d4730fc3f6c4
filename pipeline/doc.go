// Package pipeline chooses the path of each stream through the engines that
// hold the layers of a model.
//
// Links between failure domains are shared by all streams and carry the
// activations of every token, so a path stays within one failure domain if any
// domain holds all layers with room left. An engine's room is its KV cache: a
// [Planner] counts what the streams of this host take there, and assumes that
// the other hosts take as much.
package pipeline
