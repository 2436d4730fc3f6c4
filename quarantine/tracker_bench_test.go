package quarantine_test

import (
	"fmt"
	"testing"
)

// BenchmarkAdmit decides about requests with three parts while there are no suspects, and
// while there are as many as are remembered.
func BenchmarkAdmit(b *testing.B) {
	for _, suspects := range []uint64{0, 256} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			tracker := newTracker(nil)
			for part := range suspects {
				for engine := range 8 {
					tracker.RecordCrash([]uint64{part}, fmt.Sprint("e", part, "-", engine), at(0))
				}
			}
			parts := []uint64{1000, 1001, 0}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Admit("request", parts, at(0))
			}
		})
	}
}
