package hosted_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serves waits until all hosts serve requests with a key.
func (f *fleet) serves(t *testing.T, key string, hosts ...*entryHost) {
	t.Helper()
	for _, h := range hosts {
		await(t, "answer with "+key, func() bool { return first(h.ask(t, "GET", "/stock/1", key)) == 200 })
	}
}

// reader waits until the hosts know each other, and returns the one that reads.
func (f *fleet) reader(t *testing.T) (n int) {
	t.Helper()
	for _, h := range f.hosts {
		await(t, "all hosts in the answer", func() bool { return slices.Equal(h.addresses(t), f.callers()) })
	}
	await(t, "one host that reads", func() bool {
		n = slices.IndexFunc(f.hosts, func(h *entryHost) bool { return f.store.waitingAt(h.door.address()) == 2 })
		return n >= 0 && f.store.waitingReads() == 2
	})
	return n
}

// One host of a failure domain reads the store, and the others hear of all news
// from it.
func TestOneHostReadsForItsFailureDomain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.serves(t, "k1", f.hosts...)
	f.reader(t)
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.serves(t, "k2", f.hosts...)
	more := newReplica(t, f.store, "p2", "plain", "")
	f.plain[0].leave("plain")
	f.plain[1].leave("plain")
	for _, h := range f.hosts {
		await(t, "call of the new replica", func() bool {
			before := more.calls()
			h.ask(t, "GET", "/stock/1", "k2")
			return more.calls() > before
		})
	}
	f.reader(t)
}

// Hosts whose reader does not hear of the store any more read it themselves, and
// the reader's own trust in keys ends.
func TestHostsDoWithoutTheirReader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.serves(t, "k1", f.hosts...)
	i := f.reader(t)
	reader := f.hosts[i]
	rest := slices.Delete(slices.Clone(f.hosts), i, i+1)
	reader.door.silence(true)
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.serves(t, "k2", rest...)
	await(t, "refusal", func() bool { return first(reader.ask(t, "GET", "/stock/1", "k1")) == 503 })
	reader.door.silence(false)
	f.serves(t, "k2", reader)
	f.reader(t)
}

// A host that can't reach the store hears of all news from the one that feeds it, and
// trusts keys by the proofs that come with it.
func TestAHostWithoutTheStoreIsFed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.serves(t, "k1", f.hosts...)
	cut := f.hosts[1-f.reader(t)]
	cut.door.silence(true)
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.serves(t, "k2", cut)
	// Its own last read is too old by then.
	time.Sleep(cut.cfg.Revoke.D() + time.Second)
	f.store.put("keyed.op", "config", configuration(5, "k3"))
	f.serves(t, "k3", cut)
	is.New(t).Equal(first(cut.ask(t, "GET", "/stock/1", "k2")), 401)
}

// While the store does not answer, reads do not wait there for news: one that hangs
// would keep the host from the next for long.
func TestReadsDoNotWaitInAStoreThatIsAway(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.serves(t, "k1", h)
	f.store.setDown(true)
	await(t, "refusal", func() bool { return first(h.ask(t, "GET", "/stock/1", "k1")) == 503 })
	before := len(h.door.reads())
	await(t, "more reads", func() bool { return len(h.door.reads()) >= before+4 })
	for _, wait := range h.door.reads()[before:] {
		is.New(t).Equal(wait, "0")
	}
	f.store.setDown(false)
	f.serves(t, "k1", h)
}
