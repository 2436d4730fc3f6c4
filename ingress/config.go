package ingress

import "time"

// Kind determines how requests are answered and whether they may run again.
type Kind string

// The kinds of requests.
const (
	// KindStream requests are answered with a stream of events.
	KindStream Kind = "stream"
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Rules    []Rule
	Services []Service
	// KeysRequired is set if the configuration lists its customers, even if the list is
	// empty or no customer has a key left. Requests then need an API key.
	KeysRequired bool
	Customers    []Customer
	// Limits has zero or a negative value where the default applies.
	Limits Limits
}

// Rule defines which services handle the requests for a host and path prefix,
// and with which limits.
type Rule struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable is set if a stream can be continued by another replica after
	// any event.
	Resumable bool
	// Timeout bounds the time that a caller waits.
	Timeout time.Duration
	// Objective is the target latency: the time to the answer, or to the
	// first event of a stream, beyond which the answer is worth less to the
	// caller.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts bounds the number of replicas that one request is sent to.
	MaxAttempts int
	// AllowAnonymous is set if requests are served without an API key.
	AllowAnonymous bool
	Targets        []Target
}

// Target is a service that receives a share of a rule's requests, in
// proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of replicas that serve the same requests.
type Service struct {
	Name string
	// Model is the model that the replicas run, which are then called engines.
	// It is nil for a plain service, which runs none.
	Model *Model
}

// Model describes the model that the engines of a service run.
type Model struct {
	Layers int
	// LayerMB is the size of the weights of one layer in MB.
	LayerMB float64
	// KVTokenMB is the size in MB of one token in the KV cache, summed over
	// all layers.
	KVTokenMB float64
	// StepTime is the time that one token takes through all layers on the
	// fastest kind of accelerator.
	StepTime time.Duration
	// TypicalAnswerTokens is the mean length of an answer in tokens.
	TypicalAnswerTokens int
	// LoadTime is the time to load the weights of all layers, while at most ConcurrentLoads
	// engines load any. Both are 0 if they are not known.
	LoadTime        time.Duration
	ConcurrentLoads int
	// ActivationMB is the size in MB of the activations of one token between two engines, and
	// DomainLinkMBps the bandwidth in MB/s between two failure domains, which all streams
	// share. Both are 0 if they are not known.
	ActivationMB   float64
	DomainLinkMBps float64
	Accelerators   map[string]Accelerator
}

// Accelerator describes one kind of accelerator.
type Accelerator struct {
	MemoryMB float64
	// Slowness multiplies Model.StepTime.
	Slowness float64
}

// KVCells returns the KV cache capacity of an accelerator that holds the given
// number of layers, counted in cells of one token in one layer.
func (m *Model) KVCells(a Accelerator, layers int) float64 {
	if layers <= 0 || m.KVTokenMB <= 0 {
		return 0
	}
	free := a.MemoryMB - float64(layers)*m.LayerMB
	return max(free, 0) / (m.KVTokenMB / float64(m.Layers))
}

// LayerTime returns the time that one token takes in one layer on an
// accelerator.
func (m *Model) LayerTime(a Accelerator) time.Duration {
	return time.Duration(float64(m.StepTime) * a.Slowness / float64(m.Layers))
}

// TransferTime returns how long the activations of a number of tokens occupy the link between
// two failure domains, or 0 if that is not known.
func (m *Model) TransferTime(tokens int) time.Duration {
	if m.DomainLinkMBps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * m.ActivationMB / m.DomainLinkMBps * float64(time.Second))
}

// Customer is identified by the API key of its requests.
type Customer struct {
	Name string
	// Keys are the customer's API keys.
	Keys []string
	// Priority overrides the priority of the rule unless it is nil.
	Priority *int
}
