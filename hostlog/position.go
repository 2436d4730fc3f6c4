package hostlog

const (
	// firstEra is the era of a log that was never restored.
	firstEra = 1
	// offsetBits is the size of an offset in a position.
	offsetBits = 40
)

// Position returns the position of an offset in an era. The platform begins a new era each
// time it restores the log from a backup, and then gives out offsets again. Positions
// increase across eras; in the first era they are the offsets.
func Position(era, offset int64) int64 { return max(era-firstEra, 0)<<offsetBits | offset }

// EraOf returns the era of a position.
func EraOf(position int64) int64 { return position>>offsetBits + firstEra }

// OffsetOf returns the offset of a position.
func OffsetOf(position int64) int64 { return position & (1<<offsetBits - 1) }
