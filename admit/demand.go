package admit

const (
	// reservedShare is the part of a limit or of a pool that is divided equally
	// among hosts whatever their demand, so that a host whose traffic has just
	// begun has some of it.
	reservedShare = 0.2
	// demandSmoothing is the weight of the newest count in the smoothed demand.
	// A smoothed demand below minDemand counts as none.
	demandSmoothing = 0.3
	minDemand       = 0.05
)

// DemandEstimator smooths the demand that a host reports to the allocator for each
// customer and pool, since the count of a single second is too noisy. It is not
// safe for concurrent use.
type DemandEstimator struct {
	rates map[string]float64
}

// NewDemandEstimator returns an estimator without demand.
func NewDemandEstimator() *DemandEstimator { return &DemandEstimator{rates: map[string]float64{}} }

// Update takes the number of requests of each customer and pool since the last
// call. It returns the demand to report to the allocator, and the names of the
// customers and pools whose demand has ended.
func (e *DemandEstimator) Update(counts map[string]int) (demand map[string]float64, ended []string) {
	for name := range counts {
		if _, ok := e.rates[name]; !ok {
			e.rates[name] = float64(counts[name])
		}
	}
	demand = map[string]float64{}
	for name, rate := range e.rates {
		rate += demandSmoothing * (float64(counts[name]) - rate)
		e.rates[name] = rate
		if rate < minDemand {
			delete(e.rates, name)
			ended = append(ended, name)
			continue
		}
		demand[name] = rate
	}
	return demand, ended
}

// EffectiveShare returns the share of a limit or of a pool that a host may use: its
// equal part of reservedShare, and the granted share of the rest.
func EffectiveShare(granted float64, hosts int) float64 {
	return reservedShare/float64(max(hosts, 1)) + (1-reservedShare)*granted
}
