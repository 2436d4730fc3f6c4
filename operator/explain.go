package operator

import (
	"bulrushshed/route"
	"bulrushshed/rule"
)

// Query describes a request that an operator wants explained.
type Query struct {
	Customer string `json:"customer"`
	Path     string `json:"path"`
	Model    string `json:"model"`
}

// Explanation says what would become of a request now, and why.
type Explanation struct {
	Query   Query        `json:"query"`
	Version rule.Version `json:"version"`
	// Class or Model is the rule that the request falls under.
	Class *rule.Class `json:"class,omitempty"`
	Model *rule.Model `json:"model,omitempty"`
	Limit *rule.Limit `json:"limit,omitempty"`
	// Route is the one that a completion would get.
	Route *route.Route `json:"route,omitempty"`
	// Candidates are the endpoints that may serve it, and why others may not.
	Candidates []Candidate `json:"candidates"`
	// Refused is why the request would be refused, or "".
	Refused string `json:"refused"`
}

// Candidate is an endpoint with the reason why it would not be used, or "".
type Candidate struct {
	Endpoint      string `json:"endpoint"`
	FailureDomain string `json:"failure_domain"`
	Why           string `json:"why_not"`
}
