package control_test

import (
	"fmt"
	"testing"

	"bulrushshed/control"
)

// BenchmarkRepairOfSoundFleet looks for repairs in fleets that need none, which the holder of
// the control lease does all the time.
func BenchmarkRepairOfSoundFleet(b *testing.B) {
	for _, engines := range []int{38, 218, 1600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var fleet []control.Placement
			for i := range engines {
				kind := []string{"large", "middle", "small"}[i%3]
				fleet = append(fleet, control.Placement{
					ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i * 5 / engines), Accelerator: fleetModel.Accelerators[kind],
				})
			}
			placements := placed(fleetModel, fleet)
			for b.Loop() {
				control.Repair(fleetModel, placements, func(string) bool { return true })
			}
		})
	}
}
