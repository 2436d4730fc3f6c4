package admit

const (
	// reserved is the share of a limit that hosts have in equal parts whatever
	// their demand, so that one whose traffic has just begun is not without.
	reserved = 0.2
	// demandWeight is the weight of the newest count in the demand, and
	// leastDemand the demand below which there is none.
	demandWeight = 0.3
	leastDemand  = 0.05
)

// Sharer is a host's side of sharing limits: it smooths the demand that the
// broker is told, since a host's count of one second says little. It is not safe
// for concurrent use.
type Sharer struct {
	rates map[string]float64
}

// NewSharer returns a sharer without demand.
func NewSharer() *Sharer { return &Sharer{rates: map[string]float64{}} }

// Note takes the counts since the last call, and returns the demand to tell the
// broker and the names whose demand has ended.
func (s *Sharer) Note(counts map[string]int) (demand map[string]float64, ended []string) {
	for name := range counts {
		if _, ok := s.rates[name]; !ok {
			s.rates[name] = float64(counts[name])
		}
	}
	demand = map[string]float64{}
	for name, rate := range s.rates {
		rate += demandWeight * (float64(counts[name]) - rate)
		s.rates[name] = rate
		if rate < leastDemand {
			delete(s.rates, name)
			ended = append(ended, name)
			continue
		}
		demand[name] = rate
	}
	return demand, ended
}

// Part is what a host may use of a limit, if the broker granted it a part of what
// goes by demand.
func Part(granted float64, hosts int) float64 {
	return reserved/float64(max(hosts, 1)) + (1-reserved)*granted
}
