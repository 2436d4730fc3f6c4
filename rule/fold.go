package rule

import "bulrushshed/hostlog"

// Version is the log offset of the publication that was accepted; 0 means
// that no file is in force. Offsets start at 1.
type Version int64

// Publication is an operator's request to put a file in force.
type Publication struct {
	// ID is unique, so that a publisher whose append answer was lost finds
	// its own record again.
	ID string `json:"id"`
	// Base is the version that the operator edited.
	Base Version `json:"base"`
	// Author is the operator who published.
	Author string `json:"author"`
	// Text is the whole rule file.
	Text string `json:"text"`
	// Reset puts the file in force whatever was in force before. It is the
	// operators' way out if every copy of the file in force was lost.
	Reset bool `json:"reset,omitempty"`
}

// Checkpoint says which file was in force once the log had been folded up to
// and including ReadTo. It lets a host start from a log whose older records
// are gone.
type Checkpoint struct {
	ReadTo  int64   `json:"read_to"`
	Version Version `json:"version"`
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Text    string  `json:"text"`
}

// Verdict says what the fold made of a record.
type Verdict string

// The verdicts of a fold.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictConflict Verdict = "conflict"
	VerdictFaulty   Verdict = "faulty"
	VerdictOld      Verdict = "old"
	// VerdictHeld means that records before this one are missing, so that
	// it cannot be judged before a checkpoint covers them.
	VerdictHeld Verdict = "held"
)

// ActiveFile is the accepted file with its version; it is frozen.
type ActiveFile struct {
	Version Version `json:"version"`
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Text    string  `json:"text"`
	File    *File   `json:"-"`
}

// StateMachine turns the publications of the log, read in order, into the file in
// force. It is not safe for concurrent use.
type StateMachine struct {
	// current never moves to an older version.
	current ActiveFile
	// seam holds publications while records before them are missing, since
	// one of those may have changed the version.
	seam hostlog.Sequencer[Publication]
}

// NewStateMachine returns a fold with no file in force.
func NewStateMachine() *StateMachine {
	return &StateMachine{current: ActiveFile{File: &File{}}}
}

// Current returns the file in force.
func (f *StateMachine) Current() ActiveFile { return f.current }

// Complete reports whether every record before the next one is accounted for.
func (f *StateMachine) Complete() bool { return f.seam.Complete() }

// ReadTo returns the last offset that the file in force accounts for.
func (f *StateMachine) ReadTo() int64 { return f.seam.ReadTo() }

// AdvanceTo notes that all records up to an offset were read.
func (f *StateMachine) AdvanceTo(offset int64) { f.seam.AdvanceTo(offset) }

// MarkGap notes that the log now begins at first.
func (f *StateMachine) MarkGap(first int64) { f.seam.MarkGap(first) }

// ApplyPublication applies the publication that stands at a log offset.
func (f *StateMachine) ApplyPublication(offset int64, p Publication) Verdict {
	if p.Reset && Version(offset) > f.current.Version {
		return f.reset(offset, p)
	}
	if !f.seam.Complete() {
		f.seam.Accept(offset, p)
		return VerdictHeld
	}
	if !f.seam.Accept(offset, p) {
		return VerdictOld
	}
	return f.judge(offset, p)
}

func (f *StateMachine) judge(offset int64, p Publication) Verdict {
	if p.Base != f.current.Version {
		return VerdictConflict
	}
	return f.replace(Version(offset), p.ID, p.Author, p.Text)
}

// reset puts a file in force whatever was in force before.
func (f *StateMachine) reset(offset int64, p Publication) Verdict {
	verdict := f.replace(Version(offset), p.ID, p.Author, p.Text)
	if verdict == VerdictAccepted {
		f.seam.Reset(offset, f.release)
	}
	return verdict
}

// Restore applies a checkpoint, which came from the log or from a peer. All
// hosts accept the same files, so a newer version is always the right one;
// it closes a gap if it accounts for all the missing records.
func (f *StateMachine) Restore(c Checkpoint) Verdict {
	verdict := VerdictOld
	if c.Version > f.current.Version {
		verdict = f.replace(c.Version, c.ID, c.Author, c.Text)
	}
	if verdict == VerdictFaulty || c.Version < f.current.Version {
		return verdict
	}
	f.seam.Restore(c.ReadTo, f.release)
	return verdict
}

// release judges a publication that was held.
func (f *StateMachine) release(offset int64, p Publication) { f.judge(offset, p) }

func (f *StateMachine) replace(v Version, id, author, text string) Verdict {
	file, err := Parse(text)
	if err != nil {
		return VerdictFaulty
	}
	f.current = ActiveFile{Version: v, ID: id, Author: author, Text: text, File: file}
	return VerdictAccepted
}

// Checkpoint returns what another host needs to start from this fold; ok is
// false while there is no file in force or records are missing.
func (f *StateMachine) Checkpoint() (c Checkpoint, ok bool) {
	cur := f.current
	c = Checkpoint{ReadTo: f.ReadTo(), Version: cur.Version, ID: cur.ID, Author: cur.Author, Text: cur.Text}
	return c, f.Complete() && cur.Version > 0
}
