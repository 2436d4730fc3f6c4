// Package engine defines the messages exchanged between entry hosts, which serve
// callers, and model engines, which run the layers of a model on an accelerator.
// An engine is an endpoint of the routes of package route. How the messages are sent
// is left to package enginehttp.
//
// An entry host sends [Generate] with the complete route to the engine of the first
// hop, and each engine sends its activations to the next. Only tokens are returned,
// as the [Event] values of a [Stream]. Each token carries its request, attempt and
// position, so that tokens of an older attempt can be told from those of the
// current one. [Cancel] ends an attempt.
//
// An engine reports its state as a [Status]. An [Order] tells it which layers of
// which model to hold.
package engine
