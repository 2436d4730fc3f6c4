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

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindConflict means that another file became active first, or that a delta
	// is not based on the active file.
	KindConflict Kind = "conflict"
	// KindUnavailable means that the log could not be read, or that the append
	// failed without publishing anything.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the record was not found in the log, or that the
	// log cannot be read, so that it is not known whether the file was
	// accepted.
	KindUnknown Kind = "unknown"
	// KindFaulty means that the file is invalid, or that a delta does not yield
	// the text it was made for.
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

// HistoryEntry is one publication in the log, with its verdict.
type HistoryEntry struct {
	Offset  int64        `json:"offset"`
	ID      string       `json:"id"`
	Author  string       `json:"author"`
	Base    rule.Version `json:"base"`
	Verdict rule.Verdict `json:"verdict"`
}

// readLimit is the maximum number of records per read.
const readLimit = 500

// History replays the log from the oldest record that it retains, and returns
// the resulting state and all publications with their verdicts.
func History(l Log) (*rule.StateMachine, []HistoryEntry, error) {
	rules := rule.NewStateMachine()
	var entries []HistoryEntry
	for next := int64(1); ; {
		page, err := l.Read(next, readLimit, 0)
		if err != nil {
			return nil, nil, &Error{Op: "read", Kind: KindUnavailable, Cause: err}
		}
		if hostlog.OffsetOf(page.First) > firstOffset(next, page) {
			rules.MarkGap(firstRead(page))
		}
		for _, r := range page.Records {
			entries = appendHistory(rules, entries, r)
		}
		if len(page.Records) == 0 {
			resolveHeld(rules, entries)
			return rules, entries, nil
		}
		next = page.Next
	}
}

// resolveHeld sets the verdicts of the publications that were held and have been judged
// since.
func resolveHeld(rules *rule.StateMachine, entries []HistoryEntry) {
	for i, e := range entries {
		if e.Verdict == rule.VerdictHeld {
			entries[i].Verdict = rules.Judged(e.Offset)
		}
	}
}

// appendHistory applies a record to rules, and appends it to entries if it is a
// publication.
func appendHistory(rules *rule.StateMachine, entries []HistoryEntry, r hostlog.Record) []HistoryEntry {
	switch r.Type {
	case hostlog.RecordPublication:
		var p rule.Publication
		if json.Unmarshal(r.Body, &p) != nil {
			return entries
		}
		verdict := rules.ApplyPublication(r.Offset, p)
		return append(entries, HistoryEntry{Offset: r.Offset, ID: p.ID, Author: p.Author, Base: p.Base, Verdict: verdict})
	case hostlog.RecordCheckpoint:
		var s Snapshot
		if json.Unmarshal(r.Body, &s) == nil {
			rules.Restore(s.Rules)
		}
	case hostlog.RecordOutcomes, hostlog.RecordLease:
	}
	return entries
}

const idBytes = 12

// NewID returns a random ID for a publication or a lease record.
func NewID() string {
	id := make([]byte, idBytes)
	// crypto/rand.Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// errHeld means that a publication is not judged yet, as earlier records are missing.
var errHeld = errors.New("publication is held until earlier records are known")

// errNotInLog means that a record is not in the log.
var errNotInLog = errors.New("record not in the log")

// Publish appends a publication and returns the version that it received. It
// looks the record up in the log by its ID, up to attempts times at the given
// interval. If the response to the append is lost, it does the same; the record
// is never appended again.
func Publish(l Appender, p rule.Publication, interval time.Duration, attempts int) (rule.Version, error) {
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
	for range attempts {
		v, err := lookUp(l, p.ID)
		var e *Error
		if err == nil || errors.As(err, &e) && e.Kind == KindConflict {
			return v, err
		}
		last = err
		time.Sleep(interval)
	}
	return 0, &Error{Op: "look up " + p.ID, Kind: KindUnknown, Cause: last}
}

// lookUp returns the version that a publication in the log received, or an
// error that says why it was not accepted.
func lookUp(l Log, id string) (rule.Version, error) {
	rules, entries, err := History(l)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		if e.ID != id {
			continue
		}
		switch e.Verdict {
		case rule.VerdictAccepted:
			return rule.Version(e.Offset), nil
		case rule.VerdictHeld:
			return 0, &Error{Op: "look up", Kind: KindUnknown, Cause: errHeld}
		case rule.VerdictConflict, rule.VerdictFaulty, rule.VerdictStale:
		}
		cur := rules.Current()
		cause := fmt.Errorf("publication is based on version %d, but version %d by %s is active", e.Base, cur.Version, cur.Author)
		return cur.Version, &Error{Op: "publish", Kind: KindConflict, Cause: cause}
	}
	return 0, &Error{Op: "look up", Kind: KindUnknown, Cause: errNotInLog}
}

// mayHaveRun reports whether a failed append may have reached the log.
func mayHaveRun(err error) bool {
	var e interface{ MayHaveRun() bool }
	return !errors.As(err, &e) || e.MayHaveRun()
}
