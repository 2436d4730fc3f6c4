package intake

// Cause is why a connection was closed.
type Cause string

// The causes that concern connections.
const (
	// CauseHeaderTimeout means that a header was not complete in time.
	CauseHeaderTimeout Cause = "header_timeout"
	// CauseConnections means that the bound of the connections was reached.
	CauseConnections Cause = "connections"
	// CauseDescriptors means that no descriptor was left.
	CauseDescriptors Cause = "descriptors"
)
