package hostlog

// Sequencer joins a snapshot of some state to the records of the log behind it.
//
// A reader that begins with the log's first record, or with a snapshot, has
// read all that came before the next record: it is complete, and applies
// records as they come. If the log has lost records that it has not read, it
// holds what comes until a snapshot accounts for all that is missing. A Sequencer
// is not safe for concurrent use.
type Sequencer[T any] struct {
	// readTo is the last offset that the state accounts for.
	readTo int64
	// firstAfterGap is the oldest offset at hand after a gap; 0 while there is none.
	firstAfterGap int64
	// buffered are the records read since the gap, in order of offset.
	buffered []bufferedRecord[T]
}

type bufferedRecord[T any] struct {
	offset int64
	record T
}

// Complete reports whether every record before the next one is accounted for.
func (s *Sequencer[T]) Complete() bool { return s.firstAfterGap == 0 }

// ReadTo returns the last offset that the state accounts for.
func (s *Sequencer[T]) ReadTo() int64 { return s.readTo }

// AdvanceTo notes that all records up to an offset were read.
func (s *Sequencer[T]) AdvanceTo(offset int64) {
	if s.Complete() {
		s.readTo = max(s.readTo, offset)
	}
}

// MarkGap notes that the log now begins at first. If that leaves records out, what
// comes is held.
func (s *Sequencer[T]) MarkGap(first int64) {
	if first <= s.readTo+1 {
		return
	}
	s.firstAfterGap = first
	s.buffered = nil
}

// Accept takes the next record, and reports whether it is to be applied now.
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

// Restore notes that the state now accounts for all records up to an offset.
// If that closes a gap, the held records behind it are applied.
func (s *Sequencer[T]) Restore(readTo int64, apply func(offset int64, record T)) {
	s.readTo = max(s.readTo, readTo)
	if s.Complete() || s.readTo+1 < s.firstAfterGap {
		return
	}
	s.close(apply)
}

// Reset notes that the record at an offset stands for all that came before.
func (s *Sequencer[T]) Reset(offset int64, apply func(offset int64, record T)) {
	s.readTo = max(s.readTo, offset)
	if !s.Complete() {
		s.close(apply)
	}
}

func (s *Sequencer[T]) close(apply func(offset int64, record T)) {
	buffered := s.buffered
	s.firstAfterGap = 0
	s.buffered = nil
	for _, h := range buffered {
		if s.Accept(h.offset, h.record) {
			apply(h.offset, h.record)
		}
	}
}
