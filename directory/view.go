package directory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushshed/platform"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// View is what was known at one time; nothing in it changes.
type View struct {
	// Entries are the entry hosts that take new work, by name.
	Entries []platform.Host
	// Holdings are what the engines that take new work hold, by endpoint.
	Holdings []route.Holding
	// Services are the replicas that take new work, by service and name.
	Services map[string][]platform.Host
	// Hosts are all hosts with what stands against them.
	Hosts []Standing

	costs route.Costs
	// links are the ways between endpoints to avoid.
	links map[route.Link]bool
	// maps holds a map for each model that a request asked for. It is the
	// one part of a view that grows; what is in it never changes.
	mu   sync.Mutex
	maps map[mapKey]*route.Map
}

// Standing is one host and whether it takes new work.
type Standing struct {
	platform.Host
	Leaving   bool `json:"leaving"`
	Suspected bool `json:"suspected"`
	Reporting bool `json:"reporting"`
	// Holding is what an engine holds, if it reports.
	Holding route.Holding `json:"holding"`
}

func newView(o Options) *View {
	return &View{Services: map[string][]platform.Host{}, maps: map[mapKey]*route.Map{}, links: map[route.Link]bool{}, costs: o.Costs}
}

func (v *View) add(k *known, now time.Time, o Options) {
	s := Standing{
		Host:      k.host,
		Leaving:   k.leaving >= k.host.Incarnation,
		Suspected: k.suspected(now),
		Reporting: !k.statusAt.IsZero() && now.Sub(k.statusAt) <= o.StatusLife,
		Holding:   k.status.Holding,
	}
	v.Hosts = append(v.Hosts, s)
	if s.Leaving || s.Suspected {
		return
	}
	switch k.host.Role {
	case platform.RoleEntry:
		v.Entries = append(v.Entries, k.host)
	case platform.RoleEngine:
		if s.Reporting {
			v.Holdings = append(v.Holdings, k.status.Holding)
		}
	case platform.RoleService:
		for _, name := range k.host.Serves {
			v.Services[name] = append(v.Services[name], k.host)
		}
	}
}

func (v *View) sort() {
	byName := func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(v.Entries, byName)
	for _, replicas := range v.Services {
		slices.SortFunc(replicas, byName)
	}
	slices.SortFunc(v.Holdings, func(a, b route.Holding) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	slices.SortFunc(v.Hosts, func(a, b Standing) int { return cmp.Compare(a.Name, b.Name) })
}

type mapKey struct {
	model, version string
	layers         int
}

// Map returns the holdings of the model's version in use.
func (v *View) Map(m rule.Model) *route.Map {
	key := mapKey{model: m.Name, version: m.Version, layers: m.Layers}
	v.mu.Lock()
	defer v.mu.Unlock()
	found, ok := v.maps[key]
	if !ok {
		found = route.NewMap(m.Name, m.Version, m.Layers, v.Holdings)
		v.maps[key] = found
	}
	return found
}

// Plan returns a route for the model with the view's link costs.
func (v *View) Plan(m rule.Model, p route.Pick) (route.Route, error) {
	known := v.Map(m)
	if len(v.links) == 0 {
		return known.Plan(p, v.costs)
	}
	own := p.AvoidLinks
	p.AvoidLinks = maps.Clone(v.links)
	maps.Copy(p.AvoidLinks, own)
	r, err := known.Plan(p, v.costs)
	if err == nil {
		return r, nil
	}
	// A suspected way is better than none.
	p.AvoidLinks = own
	return known.Plan(p, v.costs)
}
