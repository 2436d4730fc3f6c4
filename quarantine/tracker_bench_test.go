package quarantine_test

import (
	"fmt"
	"testing"

	"bulrushshed/quarantine"
)

// BenchmarkAdmit decides about requests with three parts while there are no suspects, and
// while there are as many as are remembered.
func BenchmarkAdmit(b *testing.B) {
	for _, suspects := range []uint64{0, 256} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			tracker := newTracker(nil)
			for hash := range suspects {
				for engine := range 8 {
					tracker.RecordCrash(quarantine.Features([]uint64{hash}, hash), fmt.Sprint("e", hash, "-", engine), at(0))
				}
			}
			features := quarantine.Features([]uint64{1000, 1001, 0}, 7)
			b.ReportAllocs()
			for b.Loop() {
				tracker.Admit("request", features, at(0))
			}
		})
	}
}
