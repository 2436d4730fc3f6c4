package publication

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bulrushshed/hostlog"
	"bulrushshed/rule"
)

// Appender reads and appends to the platform's log.
type Appender interface {
	Log
	Append(e hostlog.Entry) (int64, error)
}

// Kind says what sort of failure an Error is.
type Kind string

// The kinds of Error.
const (
	// KindConflict means that another file came in force first.
	KindConflict Kind = "conflict"
	// KindUnavailable means that nothing was published.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the log can't be read now, so that nobody can
	// tell whether the file was accepted.
	KindUnknown Kind = "unknown"
	// KindFaulty means that the file has faults.
	KindFaulty Kind = "faulty"
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("publication %s: %s: %v", e.Op, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Step is one record of the log's history of publications.
type Step struct {
	Offset  int64        `json:"offset"`
	ID      string       `json:"id"`
	Author  string       `json:"author"`
	Base    rule.Version `json:"base"`
	Verdict rule.Verdict `json:"verdict"`
}

// readLimit is the number of records of one read.
const readLimit = 500

// History folds the log from its start, and returns the fold and each
// publication with its verdict.
func History(l Log) (*rule.StateMachine, []Step, error) {
	fold := rule.NewStateMachine()
	var steps []Step
	for next := int64(1); ; {
		page, err := l.Read(next, readLimit, 0)
		if err != nil {
			return nil, nil, &Error{Op: "read", Kind: KindUnavailable, Cause: err}
		}
		if page.First > next {
			fold.MarkGap(page.First)
		}
		for _, r := range page.Records {
			steps = appendStep(fold, steps, r)
		}
		if len(page.Records) == 0 {
			return fold, steps, nil
		}
		next = page.Next
	}
}

func appendStep(fold *rule.StateMachine, steps []Step, r hostlog.Record) []Step {
	switch r.Type {
	case hostlog.RecordPublication:
		var p rule.Publication
		if json.Unmarshal(r.Body, &p) != nil {
			return steps
		}
		verdict := fold.ApplyPublication(r.Offset, p)
		return append(steps, Step{Offset: r.Offset, ID: p.ID, Author: p.Author, Base: p.Base, Verdict: verdict})
	case hostlog.RecordCheckpoint:
		var s Snapshot
		if json.Unmarshal(r.Body, &s) == nil {
			fold.Restore(s.Rules)
		}
	case hostlog.RecordOutcomes, hostlog.RecordLease:
	}
	return steps
}

const idBytes = 12

// NewID returns an identity for a publication.
func NewID() string {
	id := make([]byte, idBytes)
	// Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// errMissing means that a record is not in the log.
var errMissing = errors.New("the record is not in the log")

// Publish appends a publication and returns the version that it got. An
// append whose answer was lost is looked up by its ID; it is never appended
// again.
func Publish(l Appender, p rule.Publication, pause time.Duration, tries int) (rule.Version, error) {
	if _, err := rule.Parse(p.Text); err != nil {
		return 0, &Error{Op: "check", Kind: KindFaulty, Cause: err}
	}
	body, err := json.Marshal(p)
	if err != nil {
		return 0, &Error{Op: "marshal", Kind: KindFaulty, Cause: err}
	}
	entry := hostlog.Entry{ID: p.ID, Type: hostlog.RecordPublication, Body: body}
	if _, err := l.Append(entry); err != nil && !mayHaveRun(err) {
		return 0, &Error{Op: "append", Kind: KindUnavailable, Cause: err}
	}
	var last error
	for range tries {
		v, err := find(l, p.ID)
		var e *Error
		if err == nil || errors.As(err, &e) && e.Kind == KindConflict {
			return v, err
		}
		last = err
		time.Sleep(pause)
	}
	return 0, &Error{Op: "look up " + p.ID, Kind: KindUnknown, Cause: last}
}

// find returns what the fold made of a publication.
func find(l Log, id string) (rule.Version, error) {
	fold, steps, err := History(l)
	if err != nil {
		return 0, err
	}
	for _, s := range steps {
		if s.ID != id {
			continue
		}
		if s.Verdict == rule.VerdictAccepted {
			return rule.Version(s.Offset), nil
		}
		cur := fold.Current()
		cause := fmt.Errorf("got base %d, but version %d by %s is in force", s.Base, cur.Version, cur.Author)
		return cur.Version, &Error{Op: "publish", Kind: KindConflict, Cause: cause}
	}
	return 0, &Error{Op: "look up", Kind: KindUnknown, Cause: errMissing}
}

// mayHaveRun reports whether a failed append can have reached the log.
func mayHaveRun(err error) bool {
	var e interface{ MayHaveRun() bool }
	return !errors.As(err, &e) || e.MayHaveRun()
}
