package ingress

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Table is one version of the configuration, indexed for matching requests. It
// is immutable.
type Table struct {
	Version int64
	// Limits are those of the configuration, with the defaults filled in.
	Limits Limits

	// rules is indexed by the lower-case host followed by the path prefix.
	rules          map[string]*Rule
	services       map[string]*Service
	customersByKey map[string]*Customer
	keysRequired   bool
}

// NewTable compiles a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Version: cfg.Version, Limits: cfg.Limits.orDefault(),
		rules: make(map[string]*Rule, len(cfg.Rules)), services: map[string]*Service{}, customersByKey: map[string]*Customer{},
		keysRequired: cfg.KeysRequired,
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
			t.customersByKey[key] = &cfg.Customers[i]
		}
	}
	return t
}

// Match returns the rule for a host whose prefix is the longest one that the
// path begins with, or nil if no rule matches. A port in host and a query in
// path are ignored.
func (t *Table) Match(host, path string) *Rule {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	path, _, _ = strings.Cut(path, "?")
	for slash := strings.LastIndexByte(path, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if r, ok := t.rules[host+path[:slash+1]]; ok {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// EachService calls f for each service.
func (t *Table) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// PickService selects a service at random in proportion to the target weights.
// It returns "" if all weights are zero.
func (r *Rule) PickService() string {
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	draw := rand.IntN(totalWeight)
	for _, t := range r.Targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	return ""
}

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of Error.
const (
	// KindNoRule means that no rule matches a request. No function of this
	// package returns it.
	KindNoRule ErrorKind = "no_rule"
	// KindUnknownKey means that the request has no API key, or one that belongs
	// to no customer.
	KindUnknownKey ErrorKind = "unknown_key"
	// KindStale means that the configuration is too old to tell whether the API
	// key is still valid.
	KindStale ErrorKind = "stale"
)

// Error is returned by Authorize.
type Error struct {
	Op   string
	Kind ErrorKind
}

var _ error = (*Error)(nil)

// Error formats the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("ingress %s: %s", e.Op, e.Kind) }

// Authorize returns the customer that owns an API key. It returns nil if no key
// is needed, because the rule allows anonymous requests or the configuration
// requires no keys. If fresh is false, no key is accepted, since it may have been
// revoked.
func (t *Table) Authorize(r *Rule, key string, fresh bool) (*Customer, error) {
	if r.AllowAnonymous || !t.keysRequired {
		return nil, nil
	}
	if !fresh {
		return nil, &Error{Op: "authorize", Kind: KindStale}
	}
	c, ok := t.customersByKey[key]
	if !ok {
		return nil, &Error{Op: "authorize", Kind: KindUnknownKey}
	}
	return c, nil
}

// PriorityOf returns the priority of a request: that of the customer if it is
// set, and that of the rule otherwise.
func (r *Rule) PriorityOf(c *Customer) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}
