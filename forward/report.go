package forward

import "bulrushshed/route"

// Report is the state that an engine reports about itself; it may be out of date.
type Report struct {
	// Orders is the number of orders that the engine has started, such as an order
	// to load other layers.
	Orders int64
	Busy   bool
	// CellsUsed and CellsTotal are the used and total cells of the KV cache. A
	// cell holds one token in one layer.
	CellsUsed  float64
	CellsTotal float64
	// Slowness exceeds 1 while the engine is slower than usual.
	Slowness float64
	Layers   route.Range
}
