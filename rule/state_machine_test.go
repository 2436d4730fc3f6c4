package rule_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/hostlog"
	"bulrushshed/rule"
)

func ruleText(n int) string {
	return fmt.Sprintf("limit customer=c%d rate=1 burst=1 # o: w\n", n)
}

func TestConcurrentPublicationsOnlyFirstAccepted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := rule.NewStateMachine()
	is.Equal(m.ApplyPublication(1, rule.Publication{ID: "a", Text: ruleText(1)}), rule.VerdictAccepted)
	is.Equal(m.ApplyPublication(2, rule.Publication{ID: "b", Text: ruleText(2)}), rule.VerdictConflict)
	is.Equal(m.Current().ID, "a")
	is.Equal(m.ApplyPublication(3, rule.Publication{ID: "b", Base: 1, Text: "nonsense"}), rule.VerdictFaulty)
	is.Equal(m.ApplyPublication(4, rule.Publication{ID: "b", Base: 1, Text: ruleText(2)}), rule.VerdictAccepted)
	is.Equal(m.Current().Version, rule.Version(4))
}

// If the oldest records of the log are missing, a new host must not accept a
// publication that the other hosts rejected.
func TestGapHoldsPublicationsUntilCheckpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := rule.NewStateMachine()
	m.MarkGap(20)
	is.Equal(m.ApplyPublication(21, rule.Publication{ID: "late", Base: 0, Text: ruleText(1)}), rule.VerdictHeld)
	is.Equal(m.ApplyPublication(22, rule.Publication{ID: "next", Base: 10, Text: ruleText(2)}), rule.VerdictHeld)
	is.Equal(m.Current().Version, rule.Version(0))
	is.Equal(m.Restore(rule.Checkpoint{ReadTo: 15, Version: 10, Text: ruleText(3)}), rule.VerdictAccepted)
	is.True(!m.Complete()) // records 16 to 19 may have changed the version
	m.Restore(rule.Checkpoint{ReadTo: 19, Version: 10, Text: ruleText(3)})
	is.True(m.Complete())
	is.Equal(m.Current().Version, rule.Version(22))
}

// A host that starts at any record, restores any checkpoints of another host
// and reads the rest of the log must reach the same version as a host that
// read the whole log, and its version must never decrease.
func TestStateMachinesConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "records")
		full := rule.NewStateMachine()
		var log []rule.Publication
		var checkpoints []rule.Checkpoint
		for offset := int64(1); offset <= int64(n); offset++ {
			base := rule.Version(rapid.Int64Range(0, offset-1).Draw(t, "base"))
			if rapid.Bool().Draw(t, "current") {
				base = full.Current().Version
			}
			p := rule.Publication{ID: fmt.Sprint(offset), Base: base, Text: ruleText(int(offset))}
			log = append(log, p)
			full.ApplyPublication(offset, p)
			if c, ok := full.Checkpoint(); ok {
				checkpoints = append(checkpoints, c)
			}
		}
		joiner := rule.NewStateMachine()
		first := rapid.Int64Range(1, int64(n)).Draw(t, "first")
		joiner.MarkGap(first)
		version := rule.Version(0)
		for offset := first; offset <= int64(n); offset++ {
			if len(checkpoints) > 0 && rapid.Bool().Draw(t, "restore") {
				joiner.Restore(rapid.SampledFrom(checkpoints).Draw(t, "checkpoint"))
			}
			joiner.ApplyPublication(offset, log[offset-1])
			if joiner.Current().Version < version {
				t.Fatalf("got version %d, want at least %d", joiner.Current().Version, version)
			}
			version = joiner.Current().Version
		}
		if joiner.Complete() && joiner.Current().Version != full.Current().Version {
			t.Fatalf("got version %d, want %d", joiner.Current().Version, full.Current().Version)
		}
	})
}

// Publications of a new era are judged from the era's base on all hosts, whatever they
// know of those that a restored log has lost.
func TestPublicationsOfNewEraWaitForItsBase(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	text := func(n int) string { return fmt.Sprintf("limit customer=c%d rate=1 burst=1 # test: why\n", n) }
	kept := rule.Publication{ID: "kept", Text: text(1)}
	lost := rule.Publication{ID: "lost", Base: 1, Text: text(2)}
	complete, behind := rule.NewStateMachine(), rule.NewStateMachine()
	is.Equal(complete.ApplyPublication(1, kept), rule.VerdictAccepted)
	is.Equal(complete.ApplyPublication(2, lost), rule.VerdictAccepted)
	is.Equal(behind.ApplyPublication(1, kept), rule.VerdictAccepted)
	next := rule.Publication{ID: "next", Base: 2, Text: text(3)}
	at := hostlog.Position(2, 2)
	machines := []*rule.StateMachine{complete, behind}
	for _, m := range machines {
		m.AdvanceTo(hostlog.Position(2, 1))
		is.Equal(m.ApplyPublication(at, next), rule.VerdictHeld)
		is.Equal(m.Judged(at), rule.VerdictHeld)
	}
	base, _ := complete.Checkpoint()
	base.Era = 2
	for _, m := range machines {
		m.Restore(base)
		is.Equal(m.Judged(at), rule.VerdictAccepted)
		is.Equal(m.Current().Version, rule.Version(at))
		era, ok := m.BaseEra()
		is.True(ok)
		is.Equal(era, int64(2))
		is.Equal(m.ApplyPublication(hostlog.Position(1, 3), kept), rule.VerdictStale) // a late append of the old era
	}
}
