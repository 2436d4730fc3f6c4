package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/quarantine"
)

// requestOf returns the features of a request with the given fingerprint and parts.
func requestOf(fingerprint uint64, parts ...uint64) []quarantine.Feature {
	return quarantine.Features(parts, fingerprint)
}

func TestRequestsAsAWhole(t *testing.T) {
	t.Parallel()
	const bad, victim, sound = 1, 2, 3
	crash := func(t *quarantine.Tracker, replica string, features []quarantine.Feature) {
		t.RecordCrash(features, replica, at(0))
	}
	for _, c := range []struct {
		name  string
		setup func(t *quarantine.Tracker)
		// features are those of the request, which comes a second later.
		features []quarantine.Feature
		want     quarantine.Decision
	}{
		{"no crash", func(*quarantine.Tracker) {}, requestOf(bad), quarantine.Decision{Admitted: true}},
		{"one crash", func(t *quarantine.Tracker) { crash(t, "r1", requestOf(bad)) }, requestOf(bad), quarantine.Decision{Admitted: true, Trial: true}},
		{"one crash, a copy is under way", func(t *quarantine.Tracker) {
			crash(t, "r1", requestOf(bad))
			t.Admit("another", requestOf(bad), at(500*time.Millisecond))
		}, requestOf(bad), quarantine.Decision{Admitted: true, Trial: true}},
		{"proven request whose copies are at three replicas that crash at once", func(t *quarantine.Tracker) {
			t.RecordSuccess(requestOf(sound), at(-time.Second), at(-time.Second))
			for _, r := range []string{"r1", "r2", "r3"} {
				crash(t, r, requestOf(sound))
			}
		}, requestOf(sound), quarantine.Decision{Admitted: true, Trial: true}},
		{"proven request that has crashed four replicas", func(t *quarantine.Tracker) {
			t.RecordSuccess(requestOf(bad), at(-time.Second), at(-time.Second))
			for _, r := range []string{"r1", "r2", "r3", "r4"} {
				crash(t, r, requestOf(bad))
			}
		}, requestOf(bad), quarantine.Decision{RetryAfter: 479 * time.Second}},
		{"two crashes", func(t *quarantine.Tracker) {
			crash(t, "r1", requestOf(bad))
			crash(t, "r2", requestOf(bad))
		}, requestOf(bad), quarantine.Decision{RetryAfter: 29 * time.Second}},
		{"another request after two crashes", func(t *quarantine.Tracker) {
			crash(t, "r1", requestOf(bad))
			crash(t, "r2", requestOf(bad))
		}, requestOf(sound), quarantine.Decision{Admitted: true}},
		{"a request that was at a replica that crashed", func(t *quarantine.Tracker) {
			crash(t, "r1", requestOf(bad))
			crash(t, "r1", requestOf(victim))
			crash(t, "r2", requestOf(bad))
		}, requestOf(victim), quarantine.Decision{Admitted: true, Trial: true}},
		{"one crash seen by two hosts", func(t *quarantine.Tracker) {
			crash(t, "r1", requestOf(bad))
			crash(t, "r1", requestOf(bad))
		}, requestOf(bad), quarantine.Decision{Admitted: true, Trial: true}},
		{"success after a crash", func(t *quarantine.Tracker) {
			crash(t, "r1", requestOf(bad))
			t.RecordSuccess(requestOf(bad), at(time.Millisecond), at(2*time.Millisecond))
			crash(t, "r2", requestOf(bad))
		}, requestOf(bad), quarantine.Decision{Admitted: true, Trial: true}},
		{"proven part of a request that crashes", func(t *quarantine.Tracker) {
			t.RecordSuccess(requestOf(sound, 0xa1), at(-time.Second), at(-time.Second))
			crash(t, "r1", requestOf(bad, 0xa1))
			crash(t, "r2", requestOf(bad, 0xa1))
		}, requestOf(sound, 0xa1), quarantine.Decision{Admitted: true}},
		{"proven part of two requests that crash", func(t *quarantine.Tracker) {
			t.RecordSuccess(requestOf(sound, 0xa1), at(-time.Second), at(-time.Second))
			crash(t, "r1", requestOf(bad, 0xa1))
			crash(t, "r2", requestOf(victim, 0xa1))
		}, requestOf(sound, 0xa1), quarantine.Decision{RetryAfter: 29 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tracker := newTracker(nil)
			c.setup(tracker)
			is.Equal(tracker.Check("request", c.features, at(time.Second)), c.want)
			is.Equal(tracker.Admit("request", c.features, at(time.Second)), c.want)
		})
	}
}

// A request that comes again all day at many hosts crashes few replicas, and reaches them
// at most three times after it has crashed the third one.
func TestRequestThatComesAgainAllDay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const hosts, maxCrashes = 5, 6
	now := at(0)
	var trackers []*quarantine.Tracker
	for range hosts {
		trackers = append(trackers, nil)
	}
	for i := range hosts {
		trackers[i] = quarantine.New(quarantine.Options{
			UnprovenCrashLimit: 1, HoldDelay: time.Duration(i) * 200 * time.Millisecond, Log: discard,
			Publish: func(f quarantine.Finding) {
				item, ok := quarantine.ParseItem(f.Item())
				is.True(ok)
				for j := range hosts {
					if j != i {
						trackers[j].Merge(item, now)
					}
				}
			},
		})
	}
	crashes := 0
	for n := 0; now.Before(at(24 * time.Hour)); n++ {
		now = now.Add(time.Second)
		host := trackers[n%hosts]
		if host.Admit(fmt.Sprint(n), requestOf(1), now).Admitted {
			host.RecordCrash(requestOf(1), fmt.Sprint("r", crashes), now)
			crashes++
		}
	}
	is.True(crashes <= maxCrashes)
	is.True(crashes >= 4) // it is tried again now and then
}

// Callers that are refused for the same hold return over a while after its end.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tracker := newTracker(nil)
	tracker.RecordCrash(requestOf(1), "r1", at(0))
	tracker.RecordCrash(requestOf(1), "r2", at(0))
	const hold, callers = 30 * time.Second, 300
	perSecond := map[time.Duration]int{}
	for range callers {
		after := tracker.Check("r", requestOf(1), at(0)).ReturnAfter()
		is.True(after >= hold)
		is.True(after <= 2*hold)
		perSecond[after.Truncate(time.Second)]++
	}
	for _, n := range perSecond {
		is.True(n <= callers/5)
	}
}

// Hosts end a hold one after the other, so that only one of them tries the feature.
func TestHoldsEndAtDifferentTimes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tracker := func(delay time.Duration) *quarantine.Tracker {
		return quarantine.New(quarantine.Options{UnprovenCrashLimit: 1, HoldDelay: delay, Publish: func(quarantine.Finding) {}, Log: discard})
	}
	a, b := tracker(0), tracker(300*time.Millisecond)
	for _, t := range []*quarantine.Tracker{a, b} {
		t.RecordCrash(requestOf(1), "r1", at(0))
		t.RecordCrash(requestOf(1), "r2", at(0))
	}
	end := 30*time.Second + 100*time.Millisecond
	is.True(a.Check("r", requestOf(1), at(end)).Admitted)
	is.True(!b.Check("r", requestOf(1), at(end)).Admitted)
}

func TestFingerprint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	call := quarantine.Call{Customer: "ana", Method: "POST", Target: "h/stock/1", Body: []byte("a")}
	is.Equal(call.Fingerprint(), call.Fingerprint())
	seen := map[uint64]bool{call.Fingerprint(): true}
	for _, change := range []func(c *quarantine.Call){
		func(c *quarantine.Call) { c.Customer = "bo" },
		func(c *quarantine.Call) { c.Method = "GET" },
		func(c *quarantine.Call) { c.Target = "h/stock/2" },
		func(c *quarantine.Call) { c.Customer, c.Method = "anaP", "OST" },
		func(c *quarantine.Call) { c.Prompt = 1 },
		func(c *quarantine.Call) { c.Body = []byte("b") },
		func(c *quarantine.Call) { c.Body = nil },
		func(c *quarantine.Call) { c.Body = bytes.Repeat([]byte("a"), 1<<20) },
		func(c *quarantine.Call) { c.Body = bytes.Repeat([]byte("a"), 1<<20+1) },
		func(c *quarantine.Call) { c.Body = append(bytes.Repeat([]byte("a"), 1<<20), 'b') },
	} {
		other := call
		change(&other)
		is.True(!seen[other.Fingerprint()])
		seen[other.Fingerprint()] = true
	}
}

// BenchmarkFingerprint hashes a small and a very large body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 16 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			call := quarantine.Call{Customer: "ana", Method: "POST", Target: "h/stock/1", Body: make([]byte, size)}
			for b.Loop() {
				call.Fingerprint()
			}
		})
	}
}
