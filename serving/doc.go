// Package serving selects the entry hosts that callers are told to connect to.
//
// A host decides alone about the retries, the engine capacity and the links that all
// hosts share, from its own requests and from what the others report. With requests
// spread over many hosts, each has too few to estimate anything from. So the callers of
// a failure domain are told the addresses of a subset of its hosts: the ones with the
// highest capacity, few enough that each has many requests, and enough that the loss of
// some is tolerable. A domain with no more hosts than that is not changed by this.
//
// A [Subset] determines the size, which grows while the selected hosts report that they
// are loaded, and [Select] the hosts. A [LoadMeter] tells whether this host is loaded.
// Spreading that report, and answering the callers, are left to the caller.
package serving
