// Package quarantine decides which requests are refused because a part of their
// prompt crashes engines.
//
// The prompt of a request consists of parts, of which all but the last are shared with
// other requests. If an engine crashes just as it begins an answer, one of the parts of
// that request may be the cause. A [Tracker] records such crashes by part. A part is
// proven while answers with it have succeeded recently. An unproven part is held after
// one crash, a proven one after two without a success in between: requests with it are
// refused.
//
// A success clears a part, so that in the end only the one that the crashes have in
// common is held. A request that has only some of the parts suspected together is tried
// at once, since its outcome tells them apart. Other requests with a held part are
// refused until the hold ends; then one is tried. If it crashes its engine, the next
// hold is longer.
//
// A [Finding] tells other hosts about a crash or a cleared part. Findings have
// generations: a crash belongs to the generation in which it was observed, and clearing
// a part ends its generation. So hosts agree whatever the order in which they receive
// findings, and no clocks are compared.
package quarantine
