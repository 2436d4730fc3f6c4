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

// View is an immutable snapshot of a directory.
type View struct {
	// Entries are the entry hosts that accept new work, sorted by name.
	Entries []hostlog.Host
	// Holdings are the layers held by the engines that accept new work, sorted
	// by endpoint.
	Holdings []route.Holding
	// Services are the replicas that accept new work, by service and sorted by
	// name.
	Services map[string][]hostlog.Host
	// Hosts are all hosts with their status.
	Hosts []HostStatus

	costs route.Costs
	flows *flowCache
	// suspectLinks are the links between endpoints to avoid.
	suspectLinks map[route.Link]bool
	// graphs caches the graph, and chosenVersions the version for new requests,
	// of each model that was requested. They are the only parts of a view that
	// grow; their entries never change.
	mu             sync.Mutex
	graphs         map[graphKey]*route.Graph
	chosenVersions map[graphKey]string
}

// HostStatus describes one host and whether it accepts new work.
type HostStatus struct {
	hostlog.Host
	Leaving   bool `json:"leaving"`
	Suspected bool `json:"suspected"`
	// Reporting is set if an engine's last status is still valid.
	Reporting bool `json:"reporting"`
	// Silent is the time since an engine's last status.
	Silent time.Duration `json:"silent"`
	// Holding is what an engine holds, if it has reported. MaxLayers is its
	// capacity in layers, and Changing is set while it carries out an order.
	Holding   route.Holding `json:"holding"`
	MaxLayers int           `json:"max_layers"`
	Changing  bool          `json:"changing"`
	// EngineRole tells whether an engine accepts new streams.
	EngineRole engine.Role `json:"engine_role,omitempty"`
}

func newView(o Options, flows *flowCache) *View {
	return &View{flows: flows, Services: map[string][]hostlog.Host{}, graphs: map[graphKey]*route.Graph{}, chosenVersions: map[graphKey]string{}, suspectLinks: map[route.Link]bool{}, costs: o.Costs}
}

func (v *View) add(r *hostRecord, now time.Time, o Options) {
	s := HostStatus{
		Host:      r.host,
		Leaving:   r.leaving >= r.host.Incarnation,
		Suspected: r.suspected(now),
		Reporting: !r.statusAt.IsZero() && now.Sub(r.statusAt) <= o.StatusTTL,
		Silent:    now.Sub(r.statusAt),
		Holding:   r.status.Holding,
		MaxLayers: r.status.MaxLayers,
		Changing:  r.status.Changing,

		EngineRole: r.status.Role,
	}
	v.Hosts = append(v.Hosts, s)
	if s.Leaving || s.Suspected {
		return
	}
	switch r.host.Role {
	case hostlog.RoleEntry:
		v.Entries = append(v.Entries, r.host)
	case hostlog.RoleEngine:
		if s.Reporting && !r.status.Changing && r.status.Role != engine.RoleStandby {
			v.Holdings = append(v.Holdings, r.status.Holding)
		}
	case hostlog.RoleService:
		for _, name := range r.host.Serves {
			v.Services[name] = append(v.Services[name], r.host)
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
	slices.SortFunc(v.Hosts, func(a, b HostStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// graphKey identifies one version of a model.
type graphKey struct {
	model, version string
	layers         int
}

// Graph returns the graph of the holdings of one version of a model.
func (v *View) Graph(model, version string, layers int) *route.Graph {
	key := graphKey{model: model, version: version, layers: layers}
	v.mu.Lock()
	defer v.mu.Unlock()
	graph, ok := v.graphs[key]
	if !ok {
		graph = route.NewGraph(model, version, layers, v.Holdings)
		v.graphs[key] = graph
	}
	return graph
}

// Flow returns the routes that together carry the maximum flow for one version of
// a model.
func (v *View) Flow(model, version string, layers int) *route.Flow {
	return v.flows.get(graphKey{model: model, version: version, layers: layers}, v.Graph(model, version, layers), v.costs)
}

// minVersionShare is the fraction of the highest flow among a model's versions
// that the version named by the rules needs in order to be used.
const minVersionShare = 0.5

// Version returns the version of a model that new requests are to use: the one
// named by the rules once its flow is sufficient, and until then the one with
// the highest flow.
func (v *View) Version(m rule.Model) string {
	key := graphKey{model: m.Name, version: m.Version, layers: m.Layers}
	v.mu.Lock()
	chosen, ok := v.chosenVersions[key]
	v.mu.Unlock()
	if ok {
		return chosen
	}
	chosen = v.chooseVersion(m)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.chosenVersions[key] = chosen
	return chosen
}

// chooseVersion examines all holdings, so its result is cached per view.
func (v *View) chooseVersion(m rule.Model) string {
	preferredRate := v.Flow(m.Name, m.Version, m.Layers).Rate
	best, bestRate := m.Version, preferredRate
	for _, other := range v.versions(m.Name) {
		if rate := v.Flow(m.Name, other, m.Layers).Rate; rate > bestRate {
			best, bestRate = other, rate
		}
	}
	if preferredRate > 0 && preferredRate >= minVersionShare*bestRate {
		return m.Version
	}
	return best
}

// versions returns the sorted versions of a model that engines hold.
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

// Draw returns the fastest of n routes drawn at random in proportion to their
// flow, or nil if there is none. If tryFastest is set, the route that is fastest
// on idle endpoints is also considered. Routes over suspected links are not.
// ownLoad returns the number of requests that this host has on an endpoint.
func (v *View) Draw(m rule.Model, n int, tryFastest bool, ownLoad func(endpoint string) float64) *route.Route {
	version := v.Version(m)
	graph := v.Graph(m.Name, version, m.Layers)
	flow := v.Flow(m.Name, version, m.Layers)
	load := func(endpoint string) float64 { return graph.Load(endpoint, ownLoad(endpoint)) }
	var best *route.Route
	var bestTime time.Duration
	consider := func(r *route.Route) {
		if r == nil || v.usesSuspectLink(r) {
			return
		}
		if t := r.ExpectedTokenTime(load); best == nil || t < bestTime {
			best, bestTime = r, t
		}
	}
	for range n {
		consider(flow.Draw(rand.Float64()))
	}
	if tryFastest {
		consider(flow.Fastest)
	}
	return best
}

func (v *View) usesSuspectLink(r *route.Route) bool {
	if len(v.suspectLinks) == 0 {
		return false
	}
	return slices.ContainsFunc(r.Links(), func(l route.Link) bool { return v.suspectLinks[l] })
}

// Plan computes the best route that satisfies the constraints. It uses
// suspected links only if there is no other route.
func (v *View) Plan(m rule.Model, p route.Constraints) (route.Route, error) {
	version := p.Version
	if version == "" {
		version = v.Version(m)
	}
	graph := v.Graph(m.Name, version, m.Layers)
	if len(v.suspectLinks) == 0 {
		return graph.Plan(p, v.costs)
	}
	required := p.AvoidLinks
	p.AvoidLinks = maps.Clone(v.suspectLinks)
	maps.Copy(p.AvoidLinks, required)
	r, err := graph.Plan(p, v.costs)
	if err == nil {
		return r, nil
	}
	// A suspected link is better than no route.
	p.AvoidLinks = required
	return graph.Plan(p, v.costs)
}

// flowCache carries flows over from one view to the next, since most views
// differ only in loads. It is safe for concurrent use.
type flowCache struct {
	mu    sync.Mutex
	flows map[graphKey]cachedFlow
}

type cachedFlow struct {
	// graph is the graph for which the flow was last requested, and topology
	// the hash of what the flow depends on.
	graph    *route.Graph
	topology uint64
	flow     *route.Flow
}

func (c *flowCache) get(key graphKey, graph *route.Graph, costs route.Costs) *route.Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.flows[key]
	if ok && cached.graph == graph {
		return cached.flow
	}
	topology := graph.TopologyHash()
	if !ok || cached.topology != topology {
		cached = cachedFlow{topology: topology, flow: graph.Flow(costs)}
	}
	cached.graph = graph
	c.flows[key] = cached
	return cached.flow
}
