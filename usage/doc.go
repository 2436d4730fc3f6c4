// Package usage decides what entry hosts tell each other about the engines that they
// share, and what they make of it.
//
// A host knows only its own streams. To place a stream it needs what the other hosts of
// its failure domain use of each engine, and what they have found out about engines.
//
// A [Sender] decides when this host sends a [Report] and what it contains: all engines
// that the host uses, or only those whose use has changed, and its findings. [Report.Encode]
// and [Decode] are the format of a report, with 5 bytes for an engine. A [Table] has the
// reports of the other hosts. [Table.Load] returns their sum, in which a report counts less
// as it ages.
//
// An engine is identified by a hash of its address and its incarnation, so a report ends
// with the incarnation of the engine, and hosts need not know the same list of engines.
// No clocks are compared: the age of a report begins when it is received.
//
// Sending reports, and finding out what engines are used for, are left to the caller.
package usage
