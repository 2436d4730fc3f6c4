package feed_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/feed"
)

const knownEra = 3

// newEraLog returns a reader's log up to offset 2 of knownEra. The change at offset 1 is
// relayed compressed.
func newEraLog(t *testing.T) *feed.Log {
	l := feed.NewLog("entry-1", newClock(time.Hour))
	l.Put(topic, feed.Page{Era: knownEra, Changes: []feed.Change{change(0, "a", "1")}, Next: 1}, true)
	l.Put(topic, feed.Page{Era: knownEra, Changes: []feed.Change{change(1, "a", strings.Repeat("old", 2000))}, Next: 2}, false)
	l.MarkCurrent(topic, time.Hour, true)
	if r := ask(t, l, 1, knownEra); len(r.Compressed) == 0 {
		t.Fatal("got an uncompressed page, want a compressed one")
	}
	return l
}

// ask returns the response to a follower that knows eras.
func ask(t *testing.T, l *feed.Log, next, era int64) feed.Response {
	return l.Answer(t.Context(), feed.Request{Topic: topic, Next: next, Era: era, KnowsEras: true})
}

// restore puts a snapshot of the next era, up to offset 1, and the change at offset 1.
func restore(l *feed.Log) {
	l.Put(topic, feed.Page{Era: knownEra + 1, Changes: []feed.Change{change(0, "a", "1")}, Next: 1}, true)
	l.Put(topic, feed.Page{Era: knownEra + 1, Changes: []feed.Change{change(1, "a", strings.Repeat("new", 2000))}, Next: 2}, false)
}

// A page that was compressed for the followers in one era must not be relayed in another.
func TestRelayedPageIsOfTheEraAskedFor(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newEraLog(t)
	restore(l)
	r := ask(t, l, 1, knownEra+1)
	is.True(r.Usable(feed.Position{Era: knownEra + 1, Offset: 1}))
	p, err := r.Open()
	is.NoErr(err)
	is.Equal(p.End(), feed.Position{Era: knownEra + 1, Offset: 2})
	is.Equal(string(p.Changes[0].Value), strings.Repeat("new", 2000))
}

// A follower of an older era gets a snapshot, and one of a newer era gets nothing that it
// could use.
func TestFollowersOfOtherEras(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newEraLog(t)
	restore(l)
	r := ask(t, l, 2, knownEra)
	is.True(r.Snapshot)
	is.True(r.Usable(feed.Position{Era: knownEra, Offset: 2}))
	is.True(!ask(t, l, 0, knownEra+2).Usable(feed.Position{Era: knownEra + 2}))
}

// A host that has seen a new era offers nothing that it has read in an older one.
func TestTopicOfEndedEraIsNotServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newEraLog(t)
	l.ObserveEra(knownEra + 1)
	is.True(!ask(t, l, 2, knownEra).Usable(feed.Position{Era: knownEra, Offset: 2}))
	restore(l)
	is.True(ask(t, l, 2, knownEra).Usable(feed.Position{Era: knownEra, Offset: 2}))
}

// A follower of an older version asks by offset alone, and must not get snapshots without
// end. A response of an older version has no era, so it is of no use.
func TestOlderVersionsOfHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newEraLog(t)
	r := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 2, CurrentAsOf: time.Hour})
	is.True(!r.Snapshot)
	is.Equal(len(r.Page.Changes), 0)
	r.KnowsEras = false
	is.True(!r.Usable(feed.Position{Offset: 1}))
}

// The members of a new era replace those of an older one with a higher generation.
func TestMembersOfNewEra(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newEraLog(t)
	l.SetMembers(feed.Members{Era: knownEra, Generation: 9, Names: []string{"a", "b"}})
	l.SetMembers(feed.Members{Era: knownEra + 1, Generation: 4, Names: []string{"a"}})
	l.SetMembers(feed.Members{Era: knownEra, Generation: 10, Names: []string{"a", "b"}})
	r := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 2, Era: knownEra, KnowsEras: true, Generation: 9, GroupEra: knownEra})
	is.Equal(r.Members.At(), feed.Generation{Era: knownEra + 1, Number: 4})
	is.Equal(r.Members.Names, []string{"a"})
}
