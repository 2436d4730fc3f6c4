package publication_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/hostlog"
	"bulrushshed/lease"
	"bulrushshed/publication"
	"bulrushshed/rule"
)

// pagedLog is a log whose pages have one record each.
type pagedLog struct {
	records []hostlog.Record
	// tellsEnd is set if the pages have the end of the log.
	tellsEnd bool
	// pages lets the follower read one page for each value.
	pages chan struct{}
}

func (l *pagedLog) Read(from int64, _ int, _ time.Duration) (hostlog.Page, error) {
	<-l.pages
	page := hostlog.Page{First: 1, Next: from}
	if l.tellsEnd {
		page.End = int64(len(l.records)) + 1
	}
	if from <= int64(len(l.records)) {
		page.Records = l.records[from-1 : from]
		page.Next++
	}
	return page, nil
}

type discardRecords struct{}

func (discardRecords) ObserveRecord(hostlog.Record) {}

// publish appends a rule file to the log.
func (l *pagedLog) publish(t *testing.T, base rule.Version, text string) {
	t.Helper()
	body, err := json.Marshal(rule.Publication{ID: publication.NewID(), Author: "test", Base: base, Text: text})
	is.New(t).NoErr(err)
	offset := int64(len(l.records)) + 1
	l.records = append(l.records, hostlog.Record{Offset: offset, Entry: hostlog.Entry{Type: hostlog.RecordPublication, Body: body}})
}

// Guards against a host that opens for callers with the rules of the first page of the log,
// though a newer rule file is in the next one.
func TestRulesOfAPartOfTheLogAreNotKnown(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		tellsEnd bool
		pages    int
	}{
		"platform that tells the end":    {true, 2},
		"platform that does not tell it": {false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := &pagedLog{tellsEnd: c.tellsEnd, pages: make(chan struct{})}
				l.publish(t, 0, "class path=/stock/* service=stock idempotent=yes deadline=2s # test: old\n")
				l.publish(t, 1, "class path=/stock/* service=stock idempotent=yes deadline=3s # test: new\n")
				f := publication.NewFollower(publication.Options{
					Limit: 1, RetryDelay: time.Second, Self: "a", Lease: lease.Options{Term: time.Second},
				}, func(publication.Snapshot) {}, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				done := f.Run(ctx, l, discardRecords{})
				for range c.pages {
					is.True(!f.State().Known)
					l.pages <- struct{}{}
					synctest.Wait()
				}
				is.True(f.State().Known)
				is.Equal(f.Current().Version, rule.Version(2))
				cancel()
				l.pages <- struct{}{}
				is.NoErr(<-done)
			})
		})
	}
}
