package operator

import (
	"bulrushshed/route"
	"bulrushshed/rule"
)

// Query describes a request to explain.
type Query struct {
	Customer string `json:"customer"`
	Path     string `json:"path"`
	Model    string `json:"model"`
}

// Explanation tells how a request would be handled now, and why.
type Explanation struct {
	Query   Query        `json:"query"`
	Version rule.Version `json:"version"`
	// Class or Model is the rule that matches the request.
	Class *rule.Class `json:"class,omitempty"`
	Model *rule.Model `json:"model,omitempty"`
	Limit *rule.Limit `json:"limit,omitempty"`
	// Route is the route that a completion would use.
	Route *route.Route `json:"route,omitempty"`
	// Candidates are the endpoints considered, with the reasons why some would
	// not be used.
	Candidates []Candidate `json:"candidates"`
	// RefusalReason is why the request would be refused, or "" if it would not be.
	RefusalReason string `json:"refused"`
}

// Candidate is an endpoint with the reason why it would not be used, or "".
type Candidate struct {
	Endpoint        string `json:"endpoint"`
	FailureDomain   string `json:"failure_domain"`
	ExclusionReason string `json:"why_not"`
}
