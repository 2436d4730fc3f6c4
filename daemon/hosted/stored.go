package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"bulrushshed/feed"
	"bulrushshed/gossip"
	"bulrushshed/platform"
	"bulrushshed/quarantine"
)

const (
	// storeDelay is the minimum age at which a finding is written to the store. Most
	// parts are cleared earlier, and their findings are not written.
	storeDelay = time.Second
	// maxUnstored limits the findings that are waiting to be written.
	maxUnstored = 256
)

// settledEraKey is the key of the record with the newest era in which the operator has
// republished what a restore had lost. A host that starts need not wait for that then.
const settledEraKey = "settled_era"

// storedEra is the value of the record under settledEraKey.
type storedEra struct {
	Era int64 `cbor:"era"`
}

// storedFinding is the value of a finding in the store, whose key is that of its gossip
// item.
type storedFinding struct {
	Stamp int64  `cbor:"stamp"`
	Value []byte `cbor:"value,omitempty"`
	// WrittenAtMS is the time of writing in Unix milliseconds.
	WrittenAtMS int64 `cbor:"written_at_ms"`
}

// findingStore keeps findings in the store for hosts that start later, which can read it
// before the other hosts accept them. It is not used for anything else.
type findingStore struct {
	host  *Host
	table *gossip.Table

	mu sync.Mutex
	// recent has the findings since the last run of write, by key, and due those from
	// before, which the next run writes.
	recent, due map[string]gossip.Item
	// written is the era of the store in which all findings that still hold are written.
	written int64
	// era is the era of the record under settledEraKey, as this host has read or written it.
	era int64
}

func newFindingStore(h *Host, table *gossip.Table) *findingStore {
	return &findingStore{host: h, table: table, recent: map[string]gossip.Item{}, due: map[string]gossip.Item{}}
}

// add schedules a finding of this host for writing, if later hosts need it.
func (s *findingStore) add(f quarantine.Finding) {
	if f.Kind == quarantine.KindTrial || f.Kind == quarantine.KindCleared && f.Lasted < storeDelay {
		return
	}
	i := f.Item()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) < maxUnstored {
		s.recent[i.Key] = i
	}
}

// write writes the findings that have been known for at least storeDelay and still hold.
// Those that cannot be written are tried again in the next run.
func (s *findingStore) write(context.Context) {
	s.mu.Lock()
	due := s.due
	s.due, s.recent = s.recent, map[string]gossip.Item{}
	s.mu.Unlock()
	s.addLost(due)
	maps.DeleteFunc(due, func(_ string, i gossip.Item) bool { return s.cleared(i) })
	now := time.Now()
	records := lo.MapToSlice(due, func(key string, i gossip.Item) feed.Change {
		return feed.Change{Key: key, Value: encodeStored(i, now)}
	})
	era := s.eraToWrite()
	if era > 0 {
		records = append(records, feed.Change{Key: settledEraKey, Value: mustMarshal(storedEra{Era: era})})
	}
	if len(records) == 0 {
		return
	}
	if err := s.host.store.Append(platform.TopicFindings, records); err != nil {
		s.host.log.Debug("gossip: writing findings to the store failed, retrying", "cause", err.Error())
		s.retry(due)
		return
	}
	s.recordEra(era)
}

// addLost adds the findings that a restore of the store may have lost. Each is written by
// one host, so that their number does not grow with that of the hosts.
func (s *findingStore) addLost(due map[string]gossip.Item) {
	era := s.host.era.current()
	s.mu.Lock()
	lost := s.written > 0 && era > s.written
	if s.written == 0 {
		// This host has read the store in this era.
		s.written = era
	}
	s.mu.Unlock()
	if !lost || s.host.era.restoredWithin(rejoinDelay) {
		// The hosts that share the work are not known yet.
		return
	}
	names := lo.Map(s.host.group.members(), func(p Peer, _ int) string { return p.Name })
	for _, i := range s.table.Items(time.Now()) {
		f, ok := quarantine.ParseItem(i)
		if ok && f.Kind != quarantine.KindTrial && len(due) < maxUnstored && gossip.Owner(i.Key, names) == s.host.group.memberName {
			due[i.Key] = i
		}
	}
	s.host.log.Info("gossip: writing findings again after a restore of the store", "era", era, "items", len(due))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = era
}

// mustMarshal encodes a value of a type that can always be encoded.
func mustMarshal(v any) []byte {
	out, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

// eraToWrite returns the era to be written under settledEraKey, or 0. The holder of the
// control lease writes it.
func (s *findingStore) eraToWrite() int64 {
	_, holds := s.host.group.controlLease()
	era := s.host.era.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !holds || era <= max(s.era, feed.FirstEra) || !s.host.era.settled() {
		return 0
	}
	return era
}

// recordEra records the era that the store has under settledEraKey.
func (s *findingStore) recordEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = max(s.era, era)
}

// cleared reports whether the feature of a crash has been cleared since.
func (s *findingStore) cleared(i gossip.Item) bool {
	f, ok := quarantine.ParseItem(i)
	if !ok || f.Kind != quarantine.KindCrash {
		return false
	}
	clearing, ok := s.table.Get(quarantine.Finding{Kind: quarantine.KindCleared, Feature: f.Feature}.Item().Key)
	return ok && clearing.Stamp >= f.Generation
}

func (s *findingStore) retry(items map[string]gossip.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range items {
		if len(s.due) < maxUnstored {
			s.due[key] = i
		}
	}
}

// read returns the findings in the store that have not expired, and deletes those that
// have.
func (s *findingStore) read() ([]gossip.Item, error) {
	page, err := s.host.store.Newest(platform.TopicFindings)
	if err != nil {
		return nil, err
	}
	s.host.logSkipped(platform.TopicFindings, page)
	var items []gossip.Item
	var expired []feed.Change
	now := time.Now()
	for _, c := range page.Changes {
		if c.Key == settledEraKey {
			s.readEra(c.Value)
			continue
		}
		i, ok := decodeStored(c, now)
		if !ok {
			expired = append(expired, feed.Change{Key: c.Key})
			continue
		}
		items = append(items, i)
	}
	if len(expired) > 0 {
		if err := s.host.store.Append(platform.TopicFindings, expired); err != nil {
			s.host.log.Debug("gossip: deleting expired findings failed, the next host to start tries again", "cause", err.Error())
		}
	}
	slices.SortFunc(items, func(a, b gossip.Item) int { return int(a.Stamp - b.Stamp) })
	return items, nil
}

// readEra applies the record under settledEraKey.
func (s *findingStore) readEra(value []byte) {
	var stored storedEra
	if err := cbor.Unmarshal(value, &stored); err != nil {
		s.host.log.Warn("store: decoding the settled era failed, record ignored", "cause", err.Error())
		return
	}
	s.recordEra(stored.Era)
	s.host.era.settle(stored.Era)
}

// encodeStored returns the value of a finding in the store. One that is rewritten keeps
// the time at which it expires.
func encodeStored(i gossip.Item, now time.Time) []byte {
	stored := storedFinding{Stamp: i.Stamp, Value: i.Value, WrittenAtMS: now.UnixMilli()}
	if f, ok := quarantine.ParseItem(i); ok {
		stored.WrittenAtMS -= f.Item().TTLMS - i.TTLMS
	}
	return mustMarshal(stored)
}

// decodeStored returns the gossip item of a finding in the store; ok is false if it has
// expired or cannot be decoded.
func decodeStored(c feed.Change, now time.Time) (i gossip.Item, ok bool) {
	var stored storedFinding
	if cbor.Unmarshal(c.Value, &stored) != nil {
		return gossip.Item{}, false
	}
	i = gossip.Item{Key: c.Key, Stamp: stored.Stamp, Value: stored.Value}
	f, ok := quarantine.ParseItem(i)
	if !ok {
		return gossip.Item{}, false
	}
	remaining := time.Duration(f.Item().TTLMS)*time.Millisecond - now.Sub(time.UnixMilli(stored.WrittenAtMS))
	i.TTLMS = remaining.Milliseconds()
	return i, remaining > 0
}
