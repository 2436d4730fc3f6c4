package quarantine_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/quarantine"
)

var (
	common = part(0xa1)
	deadly = part(0xdead)
	other  = part(0xb2)
)

func part(hash uint64) quarantine.Feature {
	return quarantine.Feature{Kind: quarantine.FeaturePart, Hash: hash}
}

// whole returns the feature of a request as a whole.
func whole(fingerprint uint64) quarantine.Feature {
	return quarantine.Feature{Kind: quarantine.FeatureRequest, Hash: fingerprint}
}

var discard = slog.New(slog.DiscardHandler)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// newTracker returns a tracker that appends what it publishes to findings.
func newTracker(findings *[]quarantine.Finding) *quarantine.Tracker {
	return quarantine.New(quarantine.Options{
		UnprovenCrashLimit: 1,
		Publish: func(f quarantine.Finding) {
			if findings != nil {
				*findings = append(*findings, f)
			}
		},
		Log: discard,
	})
}

func succeed(t *quarantine.Tracker, began time.Time, parts ...quarantine.Feature) {
	t.RecordSuccess(parts, began, began.Add(300*time.Millisecond))
}

func TestAdmit(t *testing.T) {
	t.Parallel()
	crash := func(t *quarantine.Tracker, at time.Time, engine string, parts ...quarantine.Feature) {
		t.RecordCrash(parts, engine, at)
	}
	for _, c := range []struct {
		name  string
		setup func(t *quarantine.Tracker)
		parts []quarantine.Feature
		after time.Duration
		want  bool
	}{
		{"no findings", func(*quarantine.Tracker) {}, []quarantine.Feature{common, deadly}, 0, true},
		{"no parts", func(t *quarantine.Tracker) { crash(t, at(0), "e1", deadly) }, nil, 0, true},
		{"unproven part after one crash", func(t *quarantine.Tracker) { crash(t, at(0), "e1", deadly) }, []quarantine.Feature{deadly}, time.Second, false},
		{"other part after a crash", func(t *quarantine.Tracker) { crash(t, at(0), "e1", deadly) }, []quarantine.Feature{common}, time.Second, true},
		{"proven part beside an unproven one", func(t *quarantine.Tracker) {
			succeed(t, at(-time.Second), common)
			crash(t, at(0), "e1", common, deadly)
		}, []quarantine.Feature{common}, time.Second, true},
		{"unproven part beside a proven one", func(t *quarantine.Tracker) {
			succeed(t, at(-time.Second), common)
			crash(t, at(0), "e1", common, deadly)
		}, []quarantine.Feature{common, deadly}, time.Second, false},
		{"proven part after one crash", func(t *quarantine.Tracker) {
			succeed(t, at(-time.Second), deadly)
			crash(t, at(0), "e1", deadly)
		}, []quarantine.Feature{deadly}, time.Second, true},
		{"proven part after two crashes", func(t *quarantine.Tracker) {
			succeed(t, at(-time.Second), deadly)
			crash(t, at(0), "e1", deadly)
			crash(t, at(100*time.Millisecond), "e2", deadly)
		}, []quarantine.Feature{deadly}, time.Second, false},
		{"proven part after two requests of one crash", func(t *quarantine.Tracker) {
			succeed(t, at(-time.Second), deadly)
			crash(t, at(0), "e1", deadly)
			crash(t, at(100*time.Millisecond), "e1", deadly)
		}, []quarantine.Feature{deadly}, time.Second, true},
		{"success that began after the crash", func(t *quarantine.Tracker) {
			crash(t, at(0), "e1", deadly)
			succeed(t, at(100*time.Millisecond), deadly)
		}, []quarantine.Feature{deadly}, time.Second, true},
		{"crash after a success is the first one again", func(t *quarantine.Tracker) {
			crash(t, at(0), "e1", deadly)
			succeed(t, at(100*time.Millisecond), deadly)
			crash(t, at(500*time.Millisecond), "e2", deadly)
		}, []quarantine.Feature{deadly}, time.Second, true},
		{"request that lacks one of two suspects", func(t *quarantine.Tracker) { crash(t, at(0), "e1", common, deadly) }, []quarantine.Feature{common}, time.Second, true},
		{"request with both suspects", func(t *quarantine.Tracker) { crash(t, at(0), "e1", common, deadly) }, []quarantine.Feature{common, deadly}, time.Second, false},
		{"crash that another part explains", func(t *quarantine.Tracker) {
			crash(t, at(0), "e1", deadly)
			crash(t, at(0), "e2", deadly, common)
			crash(t, at(0), "e2", common)
		}, []quarantine.Feature{common}, time.Second, true},
		{"part that explains several crashes", func(t *quarantine.Tracker) {
			crash(t, at(0), "e1", deadly)
			crash(t, at(0), "e2", deadly, common)
			crash(t, at(0), "e2", common)
		}, []quarantine.Feature{common, deadly}, time.Second, false},
		{"suspects of different crashes", func(t *quarantine.Tracker) {
			crash(t, at(0), "e1", common, deadly)
			crash(t, at(0), "e2", other, deadly)
		}, []quarantine.Feature{deadly}, time.Second, false},
		{"first hold ended", func(t *quarantine.Tracker) { crash(t, at(0), "e1", deadly) }, []quarantine.Feature{deadly}, 6 * time.Second, true},
		{"second hold has not ended", func(t *quarantine.Tracker) {
			crash(t, at(0), "e1", deadly)
			crash(t, at(0), "e2", deadly)
		}, []quarantine.Feature{deadly}, 29 * time.Second, false},
		{"proof expired", func(t *quarantine.Tracker) {
			succeed(t, at(-2*time.Minute), deadly)
			crash(t, at(0), "e1", deadly)
		}, []quarantine.Feature{deadly}, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tracker := newTracker(nil)
			c.setup(tracker)
			d := tracker.Admit("request", c.parts, at(c.after))
			is.Equal(d.Admitted, c.want)
			is.Equal(d.RetryAfter > 0, !c.want)
		})
	}
}

// A part that keeps crashing engines is tried ever more rarely, and only by one request
// at a time.
func TestTrialsOfAHeldPart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	elsewhere := newTracker(nil)
	now := at(0)
	tracker := quarantine.New(quarantine.Options{
		UnprovenCrashLimit: 1, Publish: func(f quarantine.Finding) { elsewhere.Merge(f, now) }, Log: discard,
	})
	tracker.RecordCrash([]quarantine.Feature{deadly}, "e0", now)
	var trials []time.Duration
	for n := 0; now.Before(at(30 * time.Minute)); n++ {
		now = now.Add(50 * time.Millisecond)
		if !tracker.Admit(fmt.Sprint("request-", n), []quarantine.Feature{deadly}, now).Admitted {
			continue
		}
		is.True(!tracker.Admit("beside the trial", []quarantine.Feature{deadly}, now).Admitted)
		is.True(!elsewhere.Admit("at another host", []quarantine.Feature{deadly}, now).Admitted)
		trials = append(trials, now.Sub(start).Truncate(time.Second))
		tracker.RecordCrash([]quarantine.Feature{deadly}, fmt.Sprint("e", n+1), now)
	}
	is.True(len(trials) >= 4)
	for i, atLeast := range []time.Duration{5, 35, 155, 635} {
		is.True(trials[i] >= atLeast*time.Second)
		is.True(trials[i] < (atLeast+1)*time.Second) // a part that no longer crashes engines is released soon
	}
	is.True(len(trials) <= 6) // in 30 min
}

// When the trouble ends, the first trial that succeeds releases the part on all hosts;
// when it comes again, the part is held again.
func TestTroubleEndsAndReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var findings []quarantine.Finding
	a, b := newTracker(&findings), newTracker(nil)
	share := func(now time.Time) {
		for _, f := range findings {
			b.Merge(f, now)
		}
	}
	admitted := func(t *quarantine.Tracker, now time.Time) bool {
		return t.Admit("r", []quarantine.Feature{deadly}, now).Admitted
	}
	a.RecordCrash([]quarantine.Feature{deadly}, "e1", at(0))
	share(at(0))
	is.True(!admitted(a, at(time.Second)))
	is.True(!admitted(b, at(time.Second)))
	is.True(admitted(a, at(6*time.Second)))
	succeed(a, at(6*time.Second), deadly)
	share(at(7 * time.Second))
	is.True(admitted(a, at(7*time.Second)))
	is.True(admitted(b, at(7*time.Second)))
	is.Equal(a.Held(at(7*time.Second)), 0)
	for i, engine := range []string{"e2", "e3"} {
		a.RecordCrash([]quarantine.Feature{deadly}, engine, at(time.Duration(8+i)*time.Second))
	}
	share(at(10 * time.Second))
	is.True(!admitted(a, at(11*time.Second)))
	is.True(!admitted(b, at(11*time.Second)))
	// Old findings that arrive again change nothing.
	share(at(12 * time.Second))
	is.True(!admitted(b, at(13*time.Second)))
}

// Hosts that have received the same findings in any order decide alike.
func TestFindingsCommute(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		finding := rapid.Custom(func(rt *rapid.T) quarantine.Finding {
			f := quarantine.Finding{
				Kind:    rapid.SampledFrom([]quarantine.Kind{quarantine.KindCrash, quarantine.KindCleared}).Draw(rt, "kind"),
				Feature: part(rapid.Uint64Range(1, 2).Draw(rt, "part")), Generation: rapid.Int64Range(1, 3).Draw(rt, "generation"),
			}
			if f.Kind == quarantine.KindCrash {
				f.Subject = rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(rt, "engine")
			}
			return f
		})
		findings := rapid.SliceOfN(finding, 1, 12).Draw(rt, "findings")
		shuffled := rapid.Permutation(findings).Draw(rt, "shuffled")
		a, b := newTracker(nil), newTracker(nil)
		for i := range findings {
			a.Merge(findings[i], at(0))
			b.Merge(shuffled[i], at(0))
		}
		for hash := uint64(1); hash <= 2; hash++ {
			// The hold tells the number of crashes.
			got, want := a.Admit("r", []quarantine.Feature{part(hash)}, at(0)), b.Admit("r", []quarantine.Feature{part(hash)}, at(0))
			if got != want {
				rt.Fatalf("got %+v and %+v for part %d in two orders, want the same", got, want, hash)
			}
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tracker := newTracker(nil)
	const parts, remembered = 5000, 256
	for hash := range uint64(parts) {
		tracker.RecordCrash([]quarantine.Feature{part(hash)}, "e1", at(time.Duration(hash)*time.Millisecond))
	}
	now := at(parts * time.Millisecond)
	is.Equal(tracker.Held(now), remembered)
	is.True(!tracker.Admit("r", []quarantine.Feature{part(parts - 1)}, now).Admitted) // the newest are kept
	is.True(tracker.Admit("r", []quarantine.Feature{part(0)}, now).Admitted)
}

func TestFindingItem(t *testing.T) {
	t.Parallel()
	for _, f := range []quarantine.Finding{
		{Kind: quarantine.KindCrash, Feature: deadly, Generation: 3, Subject: "i-12fd/1792178439211"},
		{Kind: quarantine.KindCrash, Feature: deadly, Generation: 3, Subject: "e", Others: []quarantine.Feature{common, whole(1<<64 - 1)}},
		{Kind: quarantine.KindCrash, Feature: whole(7), Generation: 3, Subject: "i-12fd/1792178439211"},
		{Kind: quarantine.KindCleared, Feature: common, Generation: 7},
		{Kind: quarantine.KindTrial, Feature: common, Generation: 7, Subject: "9c41d07be2a35f68"},
	} {
		is := is.New(t)
		got, ok := quarantine.ParseItem(f.Item())
		is.True(ok)
		is.Equal(got, f)
	}
}

func FuzzParseItem(f *testing.F) {
	f.Add("part/dead/crash/1/e/2", int64(1), []byte{1, 2, 3})
	f.Add("request/dead/crash/1/e/2", int64(1), []byte{1, 0, 0, 0, 0, 0, 0, 0, 3})
	f.Add("part/dead/cleared//", int64(2), []byte(nil))
	f.Add("leave/host", int64(2), []byte(nil))
	f.Fuzz(func(t *testing.T, key string, stamp int64, value []byte) {
		i := quarantine.Finding{}.Item()
		i.Key, i.Stamp, i.Value = key, stamp, value
		finding, ok := quarantine.ParseItem(i)
		if !ok {
			return
		}
		again, ok := quarantine.ParseItem(finding.Item())
		if !ok || again.Feature != finding.Feature || again.Generation != finding.Generation || again.Subject != finding.Subject || again.Kind != finding.Kind {
			t.Errorf("got %+v after encoding it again, want %+v", again, finding)
		}
	})
}
