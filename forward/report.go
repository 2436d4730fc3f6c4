package forward

import "bulrushshed/route"

// Report is what an engine tells of itself; it lags.
type Report struct {
	// Orders is the number of orders that the engine has begun.
	Orders int64
	Busy   bool
	// CellsUsed and CellsTotal are the KV cache in tokens of one layer.
	CellsUsed  float64
	CellsTotal float64
	// Slowness is over 1 while the engine is slow.
	Slowness float64
	Layers   route.Range
}
