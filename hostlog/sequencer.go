package hostlog

// Sequencer combines a snapshot of some state with the log records after it.
//
// A reader that starts from the log's first record, or from a snapshot, has
// accounted for all earlier records: the Sequencer is complete, and records
// apply as they arrive. If the log has deleted records that were not read,
// there is a gap, and records are buffered until a snapshot covers the gap. The
// zero value has read nothing. A Sequencer is not safe for concurrent use.
type Sequencer[T any] struct {
	// readTo is the last offset that the state accounts for.
	readTo int64
	// firstAfterGap is the first offset that the log retains after a gap, or 0
	// if there is no gap.
	firstAfterGap int64
	// missing is set if records before firstAfterGap were deleted unread.
	missing bool
	// buffered holds the records read since the gap, in offset order.
	buffered []bufferedRecord[T]
}

type bufferedRecord[T any] struct {
	offset int64
	record T
}

// Complete reports whether there is no gap: every record before the next one is
// accounted for.
func (s *Sequencer[T]) Complete() bool { return s.firstAfterGap == 0 }

// ReadTo returns the last offset that the state accounts for.
func (s *Sequencer[T]) ReadTo() int64 { return s.readTo }

// AdvanceTo records that all records up to an offset were read.
func (s *Sequencer[T]) AdvanceTo(offset int64) {
	if s.Complete() {
		s.readTo = max(s.readTo, offset)
	}
}

// MarkGap records that the log now starts at first. If unread records are
// missing, later records are buffered.
func (s *Sequencer[T]) MarkGap(first int64) {
	if first <= s.readTo+1 {
		return
	}
	s.firstAfterGap = first
	s.missing = true
	s.buffered = nil
}

// Hold buffers the records from first on until a snapshot accounts for all before it,
// though none may be missing.
func (s *Sequencer[T]) Hold(first int64) { s.firstAfterGap = max(s.firstAfterGap, first) }

// Missing reports whether records were deleted before they were read.
func (s *Sequencer[T]) Missing() bool { return s.missing }

// Accept receives the next record and reports whether it must be applied now.
func (s *Sequencer[T]) Accept(offset int64, record T) bool {
	if !s.Complete() {
		s.buffered = append(s.buffered, bufferedRecord[T]{offset: offset, record: record})
		return false
	}
	if offset <= s.readTo {
		return false
	}
	s.readTo = offset
	return true
}

// Restore records that the state now accounts for all records up to an offset.
// If that closes a gap, it applies the buffered records after the offset.
func (s *Sequencer[T]) Restore(readTo int64, apply func(offset int64, record T)) {
	s.readTo = max(s.readTo, readTo)
	if s.Complete() || s.readTo+1 < s.firstAfterGap {
		return
	}
	s.close(apply)
}

// Reset records that the record at an offset replaces the state of all earlier
// ones. If there is a gap, that closes it, and the buffered records after the
// offset are applied.
func (s *Sequencer[T]) Reset(offset int64, apply func(offset int64, record T)) {
	s.readTo = max(s.readTo, offset)
	if !s.Complete() {
		s.close(apply)
	}
}

// close ends the gap and applies the buffered records that the state does not
// account for.
func (s *Sequencer[T]) close(apply func(offset int64, record T)) {
	buffered := s.buffered
	s.firstAfterGap = 0
	s.missing = false
	s.buffered = nil
	for _, b := range buffered {
		if s.Accept(b.offset, b.record) {
			apply(b.offset, b.record)
		}
	}
}
