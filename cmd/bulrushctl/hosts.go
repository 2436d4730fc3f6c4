package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"bulrushshed/hostlog"
	"bulrushshed/jsonhttp"
	"bulrushshed/keys"
	"bulrushshed/operator"
)

const (
	defaultHost = "127.0.1.1:8081"
	hostTimeout = 5 * time.Second
)

// hostFlags select the host to query and the operator's credentials.
type hostFlags struct {
	host string
	ca   string
	cert string
	key  string
}

func (h *hostFlags) register(f *flag.FlagSet) {
	f.StringVar(&h.host, "host", defaultHost, "operator address of an entry host")
	f.StringVar(&h.ca, "ca", "", "CA certificate file; required unless the host listens on loopback")
	f.StringVar(&h.cert, "cert", "", "operator's certificate file")
	f.StringVar(&h.key, "key", "", "operator's key file")
}

// get reads from the operator API of an entry host.
func (h *hostFlags) get(path string, out any) error {
	opts := jsonhttp.DefaultOptions()
	scheme := "http://"
	if h.cert != "" {
		cfg, err := keys.Load(h.ca, h.cert, h.key)
		if err != nil {
			return err
		}
		opts.TLS = keys.RequireRole(cfg, keys.RoleHost)
		scheme = "https://"
	}
	r := jsonhttp.Request{Method: http.MethodGet, URL: scheme + h.host + path, Timeout: hostTimeout}
	return jsonhttp.NewClient(opts).Call(r, nil, out)
}

type statusCommand struct {
	hostFlags
	json bool
	text bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state of an entry host" }
func (*statusCommand) Usage() string {
	return "bulrushctl status [-json] [-text] [-host 127.0.1.1:8081]\n"
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.BoolVar(&c.json, "json", false, "print as JSON")
	f.BoolVar(&c.text, "text", false, "print the active rule file")
}

func (c *statusCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var s operator.Status
	if err := c.get(fmt.Sprintf("/v1/status?text=%t", c.text), &s); err != nil {
		return fail(exitUnavailable, err, "check that the host is running, or select another with -host")
	}
	if c.json {
		return printJSON(s)
	}
	if c.text {
		fmt.Print(withVersionLine(s.RulesText, s.Rules.Version))
		return subcommands.ExitSuccess
	}
	printStatus(s)
	return subcommands.ExitSuccess
}

func printStatus(s operator.Status) {
	fmt.Printf("%s in failure domain %s: rules version %d, log read up to offset %d, %d requests, %d claims\n",
		s.Name, s.FailureDomain, s.Rules.Version, s.Rules.ReadTo, s.Requests, s.Claims)
	if s.Draining {
		fmt.Println("this host is shutting down")
	}
	if s.Rules.Failure != "" {
		fmt.Println("can't read the log:", s.Rules.Failure)
	}
	if s.HostListFailure != "" {
		fmt.Println("can't read the list of hosts:", s.HostListFailure)
	}
	for _, h := range s.Hosts {
		fmt.Printf("%-8s %-12s %-6s %-22s %s\n", h.Role, h.Name, h.FailureDomain, h.Address, hostState(h.Leaving, h.Suspected, h.Reporting, h.Role))
	}
}

func hostState(leaving, suspected, reporting bool, role hostlog.Role) string {
	switch {
	case leaving:
		return "leaving"
	case suspected:
		return "suspected to have failed"
	case role == hostlog.RoleEngine && !reporting:
		return "no status received"
	}
	return "live"
}

type explainCommand struct {
	hostFlags
	json  bool
	query operator.Query
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show how a request would be handled, and why" }
func (*explainCommand) Usage() string {
	return "bulrushctl explain -customer puebla (-path /dispatch/confirm | -model assistant)\n"
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.BoolVar(&c.json, "json", false, "print as JSON")
	f.StringVar(&c.query.Customer, "customer", "", "customer")
	f.StringVar(&c.query.Path, "path", "", "path of a call to a plain service")
	f.StringVar(&c.query.Model, "model", "", "model of a completion")
}

func (c *explainCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if (c.query.Path == "") == (c.query.Model == "") {
		return fail(subcommands.ExitUsageError, fmt.Errorf("got path %q and model %q, want exactly one of them", c.query.Path, c.query.Model), c.Usage())
	}
	values := url.Values{"customer": {c.query.Customer}, "path": {c.query.Path}, "model": {c.query.Model}}
	var e operator.Explanation
	if err := c.get("/v1/explain?"+values.Encode(), &e); err != nil {
		return fail(exitUnavailable, err, "check that the host is running, or select another with -host")
	}
	if c.json {
		return printJSON(e)
	}
	printExplanation(e)
	return subcommands.ExitSuccess
}

func printExplanation(e operator.Explanation) {
	fmt.Printf("rules version %d\n", e.Version)
	if e.Class != nil {
		fmt.Printf("class %s: service %s, idempotent %t, deadline %s (line %d, %s: %s)\n",
			e.Class.Name, e.Class.Service, e.Class.Idempotent, e.Class.Deadline, e.Class.Origin.Line, e.Class.Origin.Who, e.Class.Origin.Why)
	}
	if e.Model != nil {
		fmt.Printf("model %s version %s, %d layers, objective %s (line %d, %s: %s)\n",
			e.Model.Name, e.Model.Version, e.Model.Layers, e.Model.Objective, e.Model.Origin.Line, e.Model.Origin.Who, e.Model.Origin.Why)
	}
	if e.Limit != nil {
		fmt.Printf("limit %g/s, burst %g (line %d, %s: %s)\n",
			e.Limit.Rate, e.Limit.Burst, e.Limit.Origin.Line, e.Limit.Origin.Who, e.Limit.Origin.Why)
	}
	if e.RefusalReason != "" {
		fmt.Println("refused:", e.RefusalReason)
	}
	if e.Route != nil {
		for _, h := range e.Route.Hops {
			fmt.Printf("  layers %d-%d on %s\n", h.Layers.From, h.Layers.To, h.Endpoint)
		}
	}
	for _, c := range e.Candidates {
		why := c.ExclusionReason
		if why == "" {
			why = "used"
		}
		fmt.Printf("%-12s %-6s %s\n", c.Endpoint, c.FailureDomain, why)
	}
}
