package rule

import "bulrushshed/hostlog"

// Version is the position in the log of an accepted publication. Positions start at 1; 0
// means that no file is active.
type Version int64

// Publication is an operator's request to activate a rule file.
type Publication struct {
	// ID is unique, so that a publisher can find its own record in the log
	// if the response to its append was lost.
	ID string `json:"id"`
	// Base is the version that the operator edited.
	Base Version `json:"base"`
	// Author is the operator who published the file.
	Author string `json:"author"`
	// Text is the complete rule file.
	Text string `json:"text"`
	// Reset activates the file regardless of the active version. Operators
	// use it to recover if every copy of the active file was lost.
	Reset bool `json:"reset,omitempty"`
}

// Checkpoint is the active file after all records up to and including ReadTo
// were applied. It lets a host start from a log whose older records were
// deleted.
type Checkpoint struct {
	ReadTo int64 `json:"read_to"`
	// Era is the era of the log for which the checkpoint is the base, or 0 for the first
	// one.
	Era     int64   `json:"era,omitempty"`
	Version Version `json:"version"`
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Text    string  `json:"text"`
}

// Verdict is the result of applying a record.
type Verdict string

// The verdicts of a StateMachine.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictConflict means that the base is not the active version.
	VerdictConflict Verdict = "conflict"
	// VerdictFaulty means that the text does not parse.
	VerdictFaulty Verdict = "faulty"
	// VerdictStale means that the record or checkpoint is not newer than what
	// was already applied.
	VerdictStale Verdict = "old"
	// VerdictHeld means that earlier records are missing. The publication is
	// buffered until a checkpoint covers them.
	VerdictHeld Verdict = "held"
)

// ActiveFile is the accepted file with its version. It is immutable.
type ActiveFile struct {
	Version Version `json:"version"`
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Text    string  `json:"text"`
	File    *File   `json:"-"`
}

// StateMachine determines the active file by applying the publications of the
// log in order. After the log was restored from a backup, hosts may know accepted
// publications that the log has lost. So that all judge later ones alike, those of a new
// era are buffered until a checkpoint in the log, or a peer, says from which file the era
// begins. A StateMachine is not safe for concurrent use.
type StateMachine struct {
	// current is the active file. Its version never decreases.
	current ActiveFile
	// sequencer buffers publications while earlier records are missing, since
	// one of those may have changed the version.
	sequencer hostlog.Sequencer[Publication]
	// era is the newest era of which the base is known.
	era int64
	// judged holds the verdicts of publications that were buffered, by position.
	judged map[int64]Verdict
}

// NewStateMachine returns a state machine without an active file.
func NewStateMachine() *StateMachine {
	return &StateMachine{current: ActiveFile{File: &File{}}, era: hostlog.EraOf(0), judged: map[int64]Verdict{}}
}

// Current returns the active file.
func (m *StateMachine) Current() ActiveFile { return m.current }

// BaseEra returns the newest era of which this host knows the base. ok is false if it
// lacks records, so that it cannot tell the base of a later one.
func (m *StateMachine) BaseEra() (era int64, ok bool) { return m.era, !m.sequencer.Missing() }

// Judged returns the verdict on a publication that was held, or VerdictHeld.
func (m *StateMachine) Judged(position int64) Verdict {
	if v, ok := m.judged[position]; ok {
		return v
	}
	return VerdictHeld
}

// Complete reports whether no records are missing before the next one.
func (m *StateMachine) Complete() bool { return m.sequencer.Complete() }

// ReadTo returns the last offset that the active file reflects.
func (m *StateMachine) ReadTo() int64 { return m.sequencer.ReadTo() }

// AdvanceTo records that all records up to an offset were read.
func (m *StateMachine) AdvanceTo(offset int64) { m.sequencer.AdvanceTo(offset) }

// MarkGap records that first is now the oldest offset in the log.
func (m *StateMachine) MarkGap(first int64) { m.sequencer.MarkGap(first) }

// ApplyPublication applies the publication at a log offset.
func (m *StateMachine) ApplyPublication(offset int64, p Publication) Verdict {
	if p.Reset && Version(offset) > m.current.Version {
		return m.reset(offset, p)
	}
	if era := hostlog.EraOf(offset); era > m.era {
		m.sequencer.Hold(hostlog.Position(era, 0))
	}
	if !m.sequencer.Complete() {
		m.sequencer.Accept(offset, p)
		return VerdictHeld
	}
	if !m.sequencer.Accept(offset, p) {
		return VerdictStale
	}
	return m.applyIfCurrent(offset, p)
}

func (m *StateMachine) applyIfCurrent(offset int64, p Publication) Verdict {
	if p.Base != m.current.Version {
		return VerdictConflict
	}
	return m.activate(Version(offset), p.ID, p.Author, p.Text)
}

// reset activates a publication regardless of the active version.
func (m *StateMachine) reset(offset int64, p Publication) Verdict {
	verdict := m.activate(Version(offset), p.ID, p.Author, p.Text)
	if verdict == VerdictAccepted {
		m.era = max(m.era, hostlog.EraOf(offset))
		m.sequencer.Reset(offset, m.applyBuffered)
	}
	return verdict
}

// Restore applies a checkpoint from the log or from a peer. All hosts accept
// the same files, so a newer version can always replace an older one. The
// checkpoint closes a gap if it covers all missing records.
func (m *StateMachine) Restore(c Checkpoint) Verdict {
	verdict := VerdictStale
	if c.Version > m.current.Version {
		verdict = m.activate(c.Version, c.ID, c.Author, c.Text)
	}
	beginsEra := c.Era > m.era
	if verdict == VerdictFaulty || c.Version < m.current.Version && !beginsEra {
		return verdict
	}
	m.era = max(m.era, c.Era)
	m.sequencer.Restore(c.ReadTo, m.applyBuffered)
	return verdict
}

// applyBuffered applies a buffered publication once no earlier records are
// missing.
func (m *StateMachine) applyBuffered(offset int64, p Publication) {
	m.judged[offset] = m.applyIfCurrent(offset, p)
}

func (m *StateMachine) activate(v Version, id, author, text string) Verdict {
	file, err := Parse(text)
	if err != nil {
		return VerdictFaulty
	}
	m.current = ActiveFile{Version: v, ID: id, Author: author, Text: text, File: file}
	return VerdictAccepted
}

// Checkpoint returns the state that another host can start from. ok is false
// while no file is active or records are missing.
func (m *StateMachine) Checkpoint() (c Checkpoint, ok bool) {
	cur := m.current
	c = Checkpoint{ReadTo: m.ReadTo(), Era: m.era, Version: cur.Version, ID: cur.ID, Author: cur.Author, Text: cur.Text}
	return c, m.Complete() && cur.Version > 0
}
