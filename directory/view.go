package directory

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushshed/engine"
	"bulrushshed/hostlog"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// View is what was known at one time; nothing in it changes.
type View struct {
	// Entries are the entry hosts that take new work, by name.
	Entries []hostlog.Host
	// Holdings are what the engines that take new work hold, by endpoint.
	Holdings []route.Holding
	// Services are the replicas that take new work, by service and name.
	Services map[string][]hostlog.Host
	// Hosts are all hosts with what stands against them.
	Hosts []Standing

	costs route.Costs
	flows *flowCache
	// links are the ways between endpoints to avoid.
	links map[route.Link]bool
	// maps holds a map, and chosen the version for new requests, for each
	// model that a request asked for. They are the one part of a view that
	// grows; what is in them never changes.
	mu     sync.Mutex
	maps   map[mapKey]*route.Graph
	chosen map[mapKey]string
}

// Standing is one host and whether it takes new work.
type Standing struct {
	hostlog.Host
	Leaving   bool `json:"leaving"`
	Suspected bool `json:"suspected"`
	Reporting bool `json:"reporting"`
	// Silent is how long ago an engine's last status came.
	Silent time.Duration `json:"silent"`
	// Holding is what an engine holds, if it reports; MaxLayers is how much
	// it can, and Changing whether it carries out an order.
	Holding   route.Holding `json:"holding"`
	MaxLayers int           `json:"max_layers"`
	Changing  bool          `json:"changing"`
	// EngineRole is whether an engine takes new streams.
	EngineRole engine.Role `json:"engine_role,omitempty"`
}

func newView(o Options, flows *flowCache) *View {
	return &View{flows: flows, Services: map[string][]hostlog.Host{}, maps: map[mapKey]*route.Graph{}, chosen: map[mapKey]string{}, links: map[route.Link]bool{}, costs: o.Costs}
}

func (v *View) add(k *known, now time.Time, o Options) {
	s := Standing{
		Host:      k.host,
		Leaving:   k.leaving >= k.host.Incarnation,
		Suspected: k.suspected(now),
		Reporting: !k.statusAt.IsZero() && now.Sub(k.statusAt) <= o.StatusLife,
		Silent:    now.Sub(k.statusAt),
		Holding:   k.status.Holding,
		MaxLayers: k.status.MaxLayers,
		Changing:  k.status.Changing,

		EngineRole: k.status.Role,
	}
	v.Hosts = append(v.Hosts, s)
	if s.Leaving || s.Suspected {
		return
	}
	switch k.host.Role {
	case hostlog.RoleEntry:
		v.Entries = append(v.Entries, k.host)
	case hostlog.RoleEngine:
		if s.Reporting && !k.status.Changing && k.status.Role != engine.RoleStandby {
			v.Holdings = append(v.Holdings, k.status.Holding)
		}
	case hostlog.RoleService:
		for _, name := range k.host.Serves {
			v.Services[name] = append(v.Services[name], k.host)
		}
	}
}

func (v *View) sort() {
	byName := func(a, b hostlog.Host) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(v.Entries, byName)
	for _, replicas := range v.Services {
		slices.SortFunc(replicas, byName)
	}
	slices.SortFunc(v.Holdings, func(a, b route.Holding) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	slices.SortFunc(v.Hosts, func(a, b Standing) int { return cmp.Compare(a.Name, b.Name) })
}

// mapKey names one version of a model.
type mapKey struct {
	model, version string
	layers         int
}

// Map returns the holdings of one version of a model.
func (v *View) Map(model, version string, layers int) *route.Graph {
	key := mapKey{model: model, version: version, layers: layers}
	v.mu.Lock()
	defer v.mu.Unlock()
	found, ok := v.maps[key]
	if !ok {
		found = route.NewGraph(model, version, layers, v.Holdings)
		v.maps[key] = found
	}
	return found
}

// Flow returns the routes of one version of a model that carry the most.
func (v *View) Flow(model, version string, layers int) *route.Flow {
	return v.flows.get(mapKey{model: model, version: version, layers: layers}, v.Map(model, version, layers), v.costs)
}

// enough is the share of another version's flow from which on the version that
// the rules name is used.
const enough = 0.5

// Version returns the version of a model that new requests are to use. That is
// the one that the rules name, once it carries enough; until then, the one
// that carries the most.
func (v *View) Version(m rule.Model) string {
	key := mapKey{model: m.Name, version: m.Version, layers: m.Layers}
	v.mu.Lock()
	chosen, ok := v.chosen[key]
	v.mu.Unlock()
	if ok {
		return chosen
	}
	chosen = v.choose(m)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.chosen[key] = chosen
	return chosen
}

// choose looks at all that engines hold, so it is done once for a view.
func (v *View) choose(m rule.Model) string {
	own := v.Flow(m.Name, m.Version, m.Layers).Rate
	best, most := m.Version, own
	for _, other := range v.versions(m.Name) {
		if rate := v.Flow(m.Name, other, m.Layers).Rate; rate > most {
			best, most = other, rate
		}
	}
	if own > 0 && own >= enough*most {
		return m.Version
	}
	return best
}

// versions returns the versions of a model that some engine holds, in order.
func (v *View) versions(model string) []string {
	var all []string
	for _, h := range v.Holdings {
		if h.Model == model && !slices.Contains(all, h.Version) {
			all = append(all, h.Version)
		}
	}
	slices.Sort(all)
	return all
}

// Draw returns the fastest of n routes that are drawn in proportion to the
// flow, or nil if there is none. With fast set, the one that is fastest on idle
// endpoints is among them. own tells how many requests this host has on an
// endpoint.
func (v *View) Draw(m rule.Model, n int, fast bool, own func(endpoint string) float64) *route.Route {
	version := v.Version(m)
	known := v.Map(m.Name, version, m.Layers)
	flow := v.Flow(m.Name, version, m.Layers)
	load := func(endpoint string) float64 { return known.Load(endpoint, own(endpoint)) }
	var best *route.Route
	var least time.Duration
	consider := func(r *route.Route) {
		if r == nil || v.suspectLink(r) {
			return
		}
		if t := r.ExpectedTokenTime(load); best == nil || t < least {
			best, least = r, t
		}
	}
	for range n {
		consider(flow.Draw(rand.Float64()))
	}
	if fast {
		consider(flow.Fastest)
	}
	return best
}

func (v *View) suspectLink(r *route.Route) bool {
	if len(v.links) == 0 {
		return false
	}
	return slices.ContainsFunc(r.Links(), func(l route.Link) bool { return v.links[l] })
}

// Plan searches the best route for what a pick asks.
func (v *View) Plan(m rule.Model, p route.Constraints) (route.Route, error) {
	version := p.Version
	if version == "" {
		version = v.Version(m)
	}
	known := v.Map(m.Name, version, m.Layers)
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

// flowCache keeps flows from one view to the next, since most views differ in
// loads alone. It is safe for concurrent use.
type flowCache struct {
	mu    sync.Mutex
	flows map[mapKey]cachedFlow
}

type cachedFlow struct {
	// known is the map that the flow was last asked for, and topology what
	// it depends on.
	known    *route.Graph
	topology uint64
	flow     *route.Flow
}

func (c *flowCache) get(key mapKey, m *route.Graph, costs route.Costs) *route.Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.flows[key]
	if ok && cached.known == m {
		return cached.flow
	}
	topology := m.TopologyHash()
	if !ok || cached.topology != topology {
		cached = cachedFlow{topology: topology, flow: m.Flow(costs)}
	}
	cached.known = m
	c.flows[key] = cached
	return cached.flow
}
