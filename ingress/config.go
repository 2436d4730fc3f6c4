package ingress

import "time"

// Kind says how often a request may run.
type Kind string

// The kinds of requests.
const (
	// KindStream is answered by a series of events.
	KindStream Kind = "stream"
	// KindSafe may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe runs at most once.
	KindUnsafe Kind = "unsafe"
)

// Config is one version of what the operators have put in force.
type Config struct {
	Version   int64
	Rules     []Rule
	Services  []Service
	Customers []Customer
}

// Rule says what serves the requests of one host and path prefix, and how.
type Rule struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another replica behind an event.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// for full value.
	Objective time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// MaxAttempts is the number of replicas that one request may be sent to.
	MaxAttempts int
	// AllowAnonymous rules serve requests without a key.
	AllowAnonymous bool
	Targets        []Target
}

// Target is a service that gets a share of a rule's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of replicas that serve the same requests.
type Service struct {
	Name string
	// Model is nil for a plain service.
	Model *Model
}

// Model tells how the engines of a service run their model.
type Model struct {
	Layers int
	// LayerMB is the memory of the weights of one layer.
	LayerMB float64
	// KVTokenMB is the memory of one token in the KV cache over all layers.
	KVTokenMB float64
	// StepTime is the time of one token through all layers on the fastest
	// kind of accelerator.
	StepTime time.Duration
	// TypicalAnswerTokens is the mean length of an answer in tokens.
	TypicalAnswerTokens int
	Accelerators        map[string]Accelerator
}

// Accelerator is one kind of accelerator.
type Accelerator struct {
	MemoryMB float64
	// Slowness multiplies Model.StepTime.
	Slowness float64
}

// KVCells returns the size of the KV cache of an accelerator that holds so many
// layers of the model, in tokens of one layer.
func (m *Model) KVCells(a Accelerator, layers int) float64 {
	if layers <= 0 || m.KVTokenMB <= 0 {
		return 0
	}
	free := a.MemoryMB - float64(layers)*m.LayerMB
	return max(free, 0) / (m.KVTokenMB / float64(m.Layers))
}

// LayerTime returns the time of one token in one layer on an accelerator.
func (m *Model) LayerTime(a Accelerator) time.Duration {
	return time.Duration(float64(m.StepTime) * a.Slowness / float64(m.Layers))
}

// Customer is a holder of keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the one of a rule; nil if there is none.
	Priority *int
}
