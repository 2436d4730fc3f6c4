package control

import "bulrushshed/engine"

// roleChanges returns the moves that give engines the roles that the rules
// specify, and the engines that can be assigned layers. It changes a role even if
// that leaves layers uncovered, because the operators asked for it explicitly.
func roleChanges(engines []Engine) (moves []Move, placeable []Engine) {
	for _, e := range engines {
		want := engine.RoleServe
		if e.Standby {
			want = engine.RoleStandby
		}
		if e.Role == "" {
			// An engine that reports no role serves.
			e.Role = engine.RoleServe
		}
		if e.Role != want && !e.Changing {
			h := e.Holding
			order := engine.ServeOrder(h.Model, h.Version, h.Layers)
			order.Role = want
			moves = append(moves, Move{
				Endpoint: h.Endpoint, Address: h.Address, Incarnation: h.Incarnation, Order: order, Reason: "role",
			})
		}
		if e.Role == engine.RoleServe && !e.Standby {
			placeable = append(placeable, e)
		}
	}
	return moves, placeable
}
