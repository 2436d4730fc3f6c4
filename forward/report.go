package forward

import "bulrushshed/route"

// Report is what an engine tells of itself; it lags.
type Report struct {
	// Orders is the number of orders that the engine has begun.
	Orders int64
	Busy   bool
	// Running and Waiting count requests, and CellsUsed and CellsTotal the KV
	// cache in tokens of one layer.
	Running    int
	Waiting    int
	CellsUsed  float64
	CellsTotal float64
	// Slowness is over 1 while the engine is slow.
	Slowness float64
	Layers   route.Range
	// Stalled finds the addresses that hold a request up, by its ID.
	Stalled map[string][]string
}
