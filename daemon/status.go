package daemon

import (
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"bulrushshed/engine"
	"bulrushshed/hostlog"
	"bulrushshed/operator"
	"bulrushshed/route"
	"bulrushshed/rule"
)

var _ operator.Host = (*Daemon)(nil)

// Status returns the state of the host.
func (d *Daemon) Status(withText bool) operator.Status {
	failure, _ := d.listFailure.Load().(string)
	s := operator.Status{
		Name: d.self.Host, FailureDomain: d.cfg.FailureDomain, Incarnation: d.self.Incarnation,
		Draining: d.draining.Load(), Rules: d.follower.State(), Requests: d.gate.ActiveRequests(), Claims: d.claims.Len(),
		Items: d.gossipTable.Len(), HostListFailure: failure, Hosts: d.directory.View().Hosts, At: time.Now(),
	}
	if withText {
		s.RulesText = d.follower.Current().Text
	}
	return s
}

// WriteMetrics writes the host's metrics in the Prometheus text format.
func (d *Daemon) WriteMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	d.meter.Write(c)
	return nil
}

// Explain returns how a request would be handled now.
func (d *Daemon) Explain(q operator.Query) (operator.Explanation, error) {
	active := d.follower.Current()
	e := operator.Explanation{Query: q, Version: active.Version, Candidates: []operator.Candidate{}}
	if l, ok := active.File.Limit(q.Customer); ok {
		e.Limit = &l
	}
	switch {
	case q.Model != "":
		d.explainModel(&e, active.File)
	case q.Path != "":
		d.explainCall(&e, active.File)
	default:
		return e, eris.New("query names neither a path nor a model")
	}
	return e, nil
}

func (d *Daemon) explainModel(e *operator.Explanation, f *rule.File) {
	m, ok := f.Model(e.Query.Model)
	if !ok {
		e.RefusalReason = "no rule names the model " + e.Query.Model
		return
	}
	e.Model = &m
	view := d.directory.View()
	r, err := view.Plan(m, route.Constraints{OwnLoad: d.inflight.Snapshot()})
	if err != nil {
		e.RefusalReason = err.Error()
	} else {
		e.Route = &r
	}
	for _, h := range view.Hosts {
		if h.Role != hostlog.RoleEngine {
			continue
		}
		reason := ""
		switch {
		case h.Leaving:
			reason = "leaving"
		case h.Suspected:
			reason = "failed a request lately"
		case !h.Reporting:
			reason = "sends no status"
		case h.Changing:
			reason = "carries out an order"
		case h.EngineRole == engine.RoleStandby:
			reason = "on standby by rule"
		case h.Holding.Model != m.Name || h.Holding.Version != view.Version(m):
			reason = "holds " + h.Holding.Model + " " + h.Holding.Version
		case !r.Uses(h.Name):
			reason = "another route is faster now"
		}
		e.Candidates = append(e.Candidates, operator.Candidate{Endpoint: h.Name, FailureDomain: h.FailureDomain, ExclusionReason: reason})
	}
}

func (d *Daemon) explainCall(e *operator.Explanation, f *rule.File) {
	class, ok := f.Class(e.Query.Path)
	if !ok {
		e.RefusalReason = "no rule names the path " + e.Query.Path
		return
	}
	e.Class = &class
	usable := 0
	for _, h := range d.directory.View().Hosts {
		if h.Role != hostlog.RoleService {
			continue
		}
		reason := ""
		switch {
		case !runsService(h.Host, class.Service):
			reason = "does not run " + class.Service
		case h.Leaving:
			reason = "leaving"
		case h.Suspected:
			reason = "failed a call lately"
		default:
			usable++
		}
		e.Candidates = append(e.Candidates, operator.Candidate{Endpoint: h.Name, FailureDomain: h.FailureDomain, ExclusionReason: reason})
	}
	if usable == 0 {
		e.RefusalReason = "no replica of " + class.Service + " takes new work"
	}
}

func runsService(h hostlog.Host, service string) bool {
	for _, s := range h.Serves {
		if s == service {
			return true
		}
	}
	return false
}
