package control

import "bulrushshed/engine"

// roles returns the orders that give engines the roles that the rules want, and
// the engines that are left to be placed. A role is changed whatever that
// uncovers: the operators have said so.
func roles(engines []Engine) (moves []Move, placed []Engine) {
	for _, e := range engines {
		want := engine.RoleServe
		if e.Standby {
			want = engine.RoleStandby
		}
		if e.Role == "" {
			// An engine that reports none serves.
			e.Role = engine.RoleServe
		}
		if e.Role != want && !e.Changing {
			h := e.Holding
			o := engine.Load(h.Model, h.Version, h.Layers)
			o.Role = want
			moves = append(moves, Move{
				Endpoint: h.Endpoint, Address: h.Address, Incarnation: h.Incarnation, Order: o, Reason: "role",
			})
		}
		if e.Role == engine.RoleServe && !e.Standby {
			placed = append(placed, e)
		}
	}
	return moves, placed
}
