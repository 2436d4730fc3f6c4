package hosted

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/serving"
)

const (
	// loadInterval is the interval at which this host determines whether it is loaded.
	loadInterval = time.Second
	// loadItemTTL is how long a host counts as loaded after its last report, and
	// loadRenewal the interval of the reports of a host that stays loaded.
	loadItemTTL = 5 * time.Second
	loadRenewal = 2 * time.Second
	// selectionTTL is how long a selection of hosts is used. Callers and the search of
	// paths ask for it with each request.
	selectionTTL = 200 * time.Millisecond
	// loadKeyPrefix precedes the caller address in the key of the gossip item by which a
	// host reports that it is loaded.
	loadKeyPrefix = "load/"
)

// servingHosts selects the hosts that callers are told to connect to.
type servingHosts struct {
	host   *Host
	subset *serving.Subset
	cpu    *serving.LoadMeter

	// reportedAt is when this host last reported that it is loaded. Only the loop that
	// reports it uses it.
	reportedAt time.Time

	mu sync.Mutex
	// selected has the selected hosts by failure domain, as of selectedAt.
	selected   map[string][]Peer
	selectedAt time.Time
}

func newServingHosts(h *Host) *servingHosts {
	return &servingHosts{host: h, subset: serving.NewSubset(), cpu: serving.NewLoadMeter(h.cfg.ProcessorShare)}
}

// inDomain returns the selected hosts of a failure domain.
func (s *servingHosts) inDomain(domain string) []Peer { return s.byDomain()[domain] }

// all returns the selected hosts of all failure domains, sorted by domain.
func (s *servingHosts) all() []Peer {
	byDomain := s.byDomain()
	var all []Peer
	for _, p := range s.host.group.members() {
		if lo.ContainsBy(byDomain[p.FailureDomain], func(q Peer) bool { return q.Address == p.Address }) {
			all = append(all, p)
		}
	}
	return all
}

// localSize returns the number of hosts that use the engines of this failure domain,
// including this one.
func (s *servingHosts) localSize() int {
	if n := len(s.inDomain(s.host.cfg.FailureDomain)); n > 0 {
		return n
	}
	return s.host.group.localSize()
}

func (s *servingHosts) byDomain() map[string][]Peer {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.selected == nil || now.Sub(s.selectedAt) >= selectionTTL {
		s.selected, s.selectedAt = s.selectHosts(now), now
	}
	return s.selected
}

func (s *servingHosts) selectHosts(now time.Time) map[string][]Peer {
	byDomain := lo.GroupBy(s.host.group.members(), func(p Peer) string { return p.FailureDomain })
	return lo.MapValues(byDomain, func(peers []Peer, domain string) []Peer {
		hosts := lo.Map(peers, func(p Peer, _ int) serving.Host {
			_, loaded := s.host.findings.table.Get(loadKeyPrefix + p.Address)
			return serving.Host{Address: p.Address, Capacity: p.Capacity, Loaded: loaded}
		})
		byAddress := lo.KeyBy(peers, func(p Peer) string { return p.Address })
		return lo.Map(s.subset.Select(domain, hosts, now), func(h serving.Host, _ int) Peer { return byAddress[h.Address] })
	})
}

// report tells the other hosts while this one is loaded.
func (s *servingHosts) report(context.Context) {
	now := time.Now()
	used, err := processorTime()
	if err != nil {
		s.host.log.Debug("serving: reading the processor time failed, host counts as not loaded", "cause", err.Error())
		return
	}
	if !s.cpu.Sample(used.Seconds(), now) || now.Sub(s.reportedAt) < loadRenewal {
		return
	}
	s.reportedAt = now
	s.host.log.Info("serving: host is loaded, reporting it", "processor_s", used.Seconds())
	s.host.publishItem(gossip.Item{Key: loadKeyPrefix + s.host.cfg.CallerAddress, Stamp: now.UnixMilli(), TTLMS: loadItemTTL.Milliseconds()})
}

// isLoadReport reports whether a gossip item says that a host is loaded.
func isLoadReport(i gossip.Item) bool { return strings.HasPrefix(i.Key, loadKeyPrefix) }

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
