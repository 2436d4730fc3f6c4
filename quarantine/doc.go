// Package quarantine decides which requests are refused because they crash the replicas
// that run them.
//
// If a replica crashes just as it begins to run a request, a [Feature] of that request may
// be the cause: one of the parts of its prompt, which other requests share, or the request
// as a whole, known by its fingerprint. A [Tracker] records such crashes by feature. A
// feature is proven while answers with it have succeeded recently. A part is held after one
// crash, or after two without a success in between if it is proven; a whole request after
// two, or four if it is proven: requests with it are refused. A request that may have
// crashed one replica is sent to one at a time.
//
// A success clears a feature, so that in the end only the one that the crashes have in
// common is held. A request that has only some of the features suspected together is tried
// at once, since its outcome tells them apart. Other requests with a held feature are
// refused until the hold ends; then one is tried. If it crashes its replica, the next
// hold is longer. A whole request is hardly ever tried again after its fifth crash.
//
// A [Finding] tells other hosts about a crash or a cleared feature. Findings have
// generations: a crash belongs to the generation in which it was observed, and clearing
// a feature ends its generation. So hosts agree whatever the order in which they receive
// findings, and no clocks are compared.
package quarantine
