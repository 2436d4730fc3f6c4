package usage_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/usage"
)

// A report must be read as it was written, but for the rounding of uses.
func TestReportsAreEncodedWithoutLoss(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		want := usage.Report{
			Host: usage.HostID(rapid.Uint32().Draw(t, "host")), Incarnation: rapid.Int64Range(0, 1<<48-1).Draw(t, "incarnation"),
			Seq: rapid.Uint64().Draw(t, "seq"), Complete: rapid.Bool().Draw(t, "complete"), Last: rapid.Bool().Draw(t, "last"),
		}
		for range rapid.IntRange(0, 5).Draw(t, "findings") {
			want.Findings = append(want.Findings, usage.Finding{
				Engine: usage.EngineID(rapid.Uint64().Draw(t, "engine")), Kind: usage.Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
				Left: ms(rapid.IntRange(0, 300).Draw(t, "left")),
			})
		}
		for range rapid.IntRange(0, 5).Draw(t, "uses") {
			want.Uses = append(want.Uses, usage.Use{
				Engine: usage.EngineID(rapid.Uint32Range(0, 1<<24-1).Draw(t, "key")), Cells: float64(rapid.IntRange(0, 2047).Draw(t, "cells")) / 1000,
				Streams: rapid.IntRange(0, 31).Draw(t, "streams"),
			})
		}
		got, err := usage.Decode(want.Encode())
		is.NoErr(err)
		is.Equal(got, want)
	})
}

// A use beyond what a report can hold must not become a small one, and a small one not none.
func TestUsesAreBounded(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		cells   float64
		streams int
		want    usage.Use
	}{
		{0, 0, usage.Use{}},
		{0.0001, 1, usage.Use{Cells: 0.001, Streams: 1}},
		{1, 31, usage.Use{Cells: 1, Streams: 31}},
		{9, 1000, usage.Use{Cells: 2.047, Streams: 31}},
		{-1, -1, usage.Use{}},
	} {
		r, err := usage.Decode(usage.Report{Uses: []usage.Use{{Cells: c.cells, Streams: c.streams}}}.Encode())
		if err != nil || r.Uses[0] != c.want {
			t.Errorf("got %v, %v for %v cells and %d streams, want %v", r.Uses, err, c.cells, c.streams, c.want)
		}
	}
}

// A report that another host garbled or that has another format must not be used.
func TestInvalidReportsAreRejected(t *testing.T) {
	t.Parallel()
	sound := usage.Report{Findings: []usage.Finding{{Engine: 1, Kind: usage.Down}}, Uses: []usage.Use{{Engine: 1, Cells: 1}}}.Encode()
	other := append([]byte{9}, sound[1:]...)
	for _, c := range []struct {
		name string
		b    []byte
		want usage.ErrorKind
	}{
		{"empty", nil, usage.KindMalformed},
		{"cut in header", sound[:11], usage.KindMalformed},
		{"cut after header", sound[:12], usage.KindMalformed},
		{"cut in finding", sound[:20], usage.KindMalformed},
		{"cut in use", sound[:len(sound)-1], usage.KindMalformed},
		{"other format", other, usage.KindVersion},
	} {
		_, err := usage.Decode(c.b)
		var e *usage.Error
		if !errors.As(err, &e) || e.Kind != c.want {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}

// A lasting load must stay within the bound for what a host sends, also in a domain of many
// engines, and be reported as often as that allows.
func TestBytesOfAHostAreBounded(t *testing.T) {
	t.Parallel()
	const peers, seconds, messageBytes, maxBytesPerSecond = 7, 20, 60, 3000
	for _, c := range []struct {
		name string
		// uses returns what the host uses in an interval of 100 ms.
		uses func(n int) []usage.Use
	}{
		{"idle", func(int) []usage.Use { return nil }},
		{"33 engines, 10 streams a second of 5 hops", func(n int) []usage.Use { return streamUses(33, 5, n) }},
		{"130 engines, 10 streams a second of 10 hops", func(n int) []usage.Use { return streamUses(130, 10, n) }},
		{"33 engines, all change", func(n int) []usage.Use { return uses(33, n) }},
		{"130 engines, all change", func(n int) []usage.Use { return uses(130, n) }},
	} {
		s := usage.NewSender(1, start)
		bytes, reports := 0, 0
		for i := range seconds * 200 {
			if r, ok := s.Next(c.uses(i/20), true, hostIDs(peers), start.Add(ms(5*i))); ok {
				reports++
				bytes += peers * (len(r.Encode()) + messageBytes)
			}
		}
		t.Logf("got %d bytes and %.1f reports a second: %s", bytes/seconds, float64(reports)/seconds, c.name)
		// The last report may be paid for after the end.
		if perSecond := bytes / seconds; perSecond > maxBytesPerSecond*(seconds+2)/seconds {
			t.Errorf("got %d bytes a second, want at most %d: %s", perSecond, maxBytesPerSecond, c.name)
		}
		is.New(t).True(reports >= seconds/2)
	}
}

// streamUses returns what streams use that begin each 100 ms and run for 3 s, each on
// consecutive engines.
func streamUses(engines, hops, n int) (all []usage.Use) {
	const running, cells = 30, 0.01
	counts := make([]int, engines)
	for stream := max(n-running, 0); stream < n; stream++ {
		for h := range hops {
			counts[(stream*hops*7+h)%engines]++
		}
	}
	for e, count := range counts {
		if count > 0 {
			all = append(all, usage.Use{Engine: engineID(e), Cells: float64(count) * cells})
		}
	}
	return all
}

// A report of all engines must have about 5 bytes for each.
func TestReportsAreSmall(t *testing.T) {
	t.Parallel()
	for engines, want := range map[int]int{0: 14, 33: 14 + 33*5, 130: 14 + 130*5} {
		r := usage.Report{Host: 1, Incarnation: time.Now().UnixMilli(), Seq: 100, Complete: true, Uses: uses(engines, 1)}
		if got := len(r.Encode()); got != want {
			t.Errorf("got %d bytes for %d engines, want %d", got, engines, want)
		}
	}
}

// uses returns the uses of n engines, which differ with each step.
func uses(n, step int) (all []usage.Use) {
	for i := range n {
		all = append(all, usage.Use{Engine: engineID(i), Cells: float64(200+(step+i)%50) / 1000, Streams: 1})
	}
	return all
}

// hostIDs returns the IDs of n hosts other than host 1.
func hostIDs(n int) (all []usage.HostID) {
	for i := range n {
		all = append(all, usage.HostID(i+2))
	}
	return all
}
