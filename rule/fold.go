package rule

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

// InForce is the accepted file with its version; it is frozen.
type InForce struct {
	Version Version `json:"version"`
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Text    string  `json:"text"`
	File    *File   `json:"-"`
}

// Fold turns the publications of the log, read in order, into the file in
// force. It is not safe for concurrent use.
type Fold struct {
	// current never moves to an older version.
	current InForce
	// readTo is the last offset that current accounts for.
	readTo int64
	// first is the oldest offset at hand after a gap; 0 while there is none.
	first int64
	// held are the publications read since the gap, in order of offset.
	held []heldPublication
}

type heldPublication struct {
	offset      int64
	publication Publication
}

// NewFold returns a fold with no file in force.
func NewFold() *Fold {
	return &Fold{current: InForce{File: &File{}}}
}

// Current returns the file in force.
func (f *Fold) Current() InForce { return f.current }

// Complete reports whether every record before the next one is accounted for.
func (f *Fold) Complete() bool { return f.first == 0 }

// ReadTo returns the last offset that the file in force accounts for.
func (f *Fold) ReadTo() int64 { return f.readTo }

// Advance notes that all records up to an offset were read.
func (f *Fold) Advance(offset int64) {
	if f.Complete() {
		f.readTo = max(f.readTo, offset)
	}
}

// Gap notes that the log now begins at first, after records that this fold
// has not read. One of them may have changed the version, so publications
// are held until a checkpoint tells.
func (f *Fold) Gap(first int64) {
	if first <= f.readTo+1 {
		return
	}
	f.first = first
	f.held = nil
}

// Publish applies the publication that stands at a log offset.
func (f *Fold) Publish(offset int64, p Publication) Verdict {
	if !f.Complete() {
		f.held = append(f.held, heldPublication{offset: offset, publication: p})
		return VerdictHeld
	}
	if offset <= f.readTo {
		return VerdictOld
	}
	f.readTo = offset
	if p.Base != f.current.Version {
		return VerdictConflict
	}
	return f.replace(Version(offset), p.ID, p.Author, p.Text)
}

// Restore applies a checkpoint, which came from the log or from a peer. All
// hosts accept the same files, so a newer version is always the right one;
// it closes a gap if it accounts for all the missing records.
func (f *Fold) Restore(c Checkpoint) Verdict {
	verdict := VerdictOld
	if c.Version > f.current.Version {
		verdict = f.replace(c.Version, c.ID, c.Author, c.Text)
	}
	if verdict == VerdictFaulty || c.Version < f.current.Version {
		return verdict
	}
	f.readTo = max(f.readTo, c.ReadTo)
	if !f.Complete() && f.readTo+1 >= f.first {
		f.release()
	}
	return verdict
}

// release judges the publications that were held during a gap.
func (f *Fold) release() {
	held := f.held
	f.first = 0
	f.held = nil
	for _, h := range held {
		f.Publish(h.offset, h.publication)
	}
}

func (f *Fold) replace(v Version, id, author, text string) Verdict {
	file, err := Parse(text)
	if err != nil {
		return VerdictFaulty
	}
	f.current = InForce{Version: v, ID: id, Author: author, Text: text, File: file}
	return VerdictAccepted
}

// Checkpoint returns what another host needs to start from this fold; ok is
// false while there is no file in force or records are missing.
func (f *Fold) Checkpoint() (c Checkpoint, ok bool) {
	cur := f.current
	c = Checkpoint{ReadTo: f.readTo, Version: cur.Version, ID: cur.ID, Author: cur.Author, Text: cur.Text}
	return c, f.Complete() && cur.Version > 0
}
