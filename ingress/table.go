package ingress

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Table is one version of the configuration, indexed for requests; it is
// frozen once made.
type Table struct {
	Version int64

	// rules finds a rule by its host and prefix, joined.
	rules    map[string]*Rule
	services map[string]*Service
	// customers finds a customer by each of its keys.
	customers map[string]*Customer
}

// NewTable compiles a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Version: cfg.Version,
		rules:   make(map[string]*Rule, len(cfg.Rules)), services: map[string]*Service{}, customers: map[string]*Customer{},
	}
	for i := range cfg.Rules {
		r := &cfg.Rules[i]
		t.rules[strings.ToLower(r.Host)+r.Prefix] = r
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Customers {
		for _, key := range cfg.Customers[i].Keys {
			t.customers[key] = &cfg.Customers[i]
		}
	}
	return t
}

// Match returns the rule with the longest prefix of a path, or nil. The path
// may carry a query.
func (t *Table) Match(host, path string) *Rule {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	path, _, _ = strings.Cut(path, "?")
	for at := strings.LastIndexByte(path, '/'); at >= 0; at = strings.LastIndexByte(path[:at], '/') {
		if r, ok := t.rules[host+path[:at+1]]; ok {
			return r
		}
	}
	return nil
}

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls f for each service.
func (t *Table) Services(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Known reports whether any customer holds keys.
func (t *Table) Known() bool { return len(t.customers) > 0 }

// PickService draws the service of one request by the weights of the rule.
func (r *Rule) PickService() string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return ""
	}
	at := rand.IntN(sum)
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// ErrorKind says why a request is not served.
type ErrorKind string

// The kinds of Error.
const (
	// KindNoRule means that no rule matches.
	KindNoRule ErrorKind = "no_rule"
	// KindUnknownKey means that the request carries no key of a customer.
	KindUnknownKey ErrorKind = "unknown_key"
	// KindStale means that the host can't tell whether the key is still good.
	KindStale ErrorKind = "stale"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
}

var _ error = (*Error)(nil)

// Error formats the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("ingress %s: %s", e.Op, e.Kind) }

// Authorize returns the customer that holds a key, or nil for a request that
// needs none. If fresh is false, keys are not trusted.
func (t *Table) Authorize(r *Rule, key string, fresh bool) (*Customer, error) {
	if r.AllowAnonymous || !t.Known() {
		return nil, nil
	}
	if !fresh {
		return nil, &Error{Op: "authorize", Kind: KindStale}
	}
	c, ok := t.customers[key]
	if !ok {
		return nil, &Error{Op: "authorize", Kind: KindUnknownKey}
	}
	return c, nil
}

// PriorityOf returns the rank of a request: the customer's, if it has one, or
// the rule's.
func (r *Rule) PriorityOf(c *Customer) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}
