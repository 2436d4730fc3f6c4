package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"bulrushshed/load"
)

type loadCommand struct {
	opts      load.Options
	entries   string
	customers string
	versions  string
	services  string
	json      bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "generate load and check the responses" }
func (*loadCommand) Usage() string {
	return "bulrushctl load -entries 127.0.1.1:8080 -rate 50 -duration 10s\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "127.0.1.1:8080", "initial addresses of entry hosts, comma-separated")
	f.Float64Var(&c.opts.Rate, "rate", 50, "requests per second")
	f.DurationVar(&c.opts.Duration, "duration", 10*time.Second, "time during which requests are sent")
	f.Float64Var(&c.opts.Calls, "calls", 0.3, "share of non-idempotent calls among the requests, 0 to 1")
	f.Float64Var(&c.opts.StockChecks, "checks", 0.3, "share of stock checks among the requests, 0 to 1")
	f.StringVar(&c.opts.CallPath, "call-path", "/dispatch/confirm", "path of non-idempotent calls")
	f.StringVar(&c.opts.StockCheckPath, "check-path", "/stock/pallets", "path of stock checks")
	f.StringVar(&c.opts.Model, "model", "assistant", "model of completions")
	f.IntVar(&c.opts.MaxTokens, "tokens", 20, "maximum number of tokens of a completion")
	f.DurationVar(&c.opts.Timeout, "timeout", 30*time.Second, "time-out of a request")
	f.IntVar(&c.opts.Layers, "layers", 0, "number of layers of the stand-in model; 0 does not check tokens")
	f.StringVar(&c.versions, "versions", "v1", "versions of the stand-in model that may respond, comma-separated")
	f.StringVar(&c.customers, "customers", "puebla,toluca,mohacs", "customers, comma-separated")
	f.StringVar(&c.services, "executions", "", "addresses of stand-in services, comma-separated, to check calls against their executions")
	f.Uint64Var(&c.opts.RandomSeed, "seed", 1, "seed of the sequence of requests")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.Seeds = strings.Split(c.entries, ",")
	c.opts.Versions = strings.Split(c.versions, ",")
	c.opts.Customers = strings.Split(c.customers, ",")
	if c.services != "" {
		c.opts.ServiceAddresses = strings.Split(c.services, ",")
	}
	c.opts.Progress = os.Stderr
	r, err := load.Run(ctx, c.opts)
	if err != nil {
		return fail(subcommands.ExitFailure, err, "the executions could not be read from the services, so the calls were not checked")
	}
	if c.json {
		printJSON(r)
	} else {
		printReport(r)
	}
	if r.HasViolations() {
		return exitViolation
	}
	return subcommands.ExitSuccess
}

func printReport(r load.Report) {
	fmt.Printf("sent %d, complete %d, rejected as not run %d, unknown %d, completions restarted %d\n",
		r.Sent, r.Complete, r.NotRun, r.Unknown, r.Restarted)
	if r.CallsChecked {
		fmt.Printf("keys of non-idempotent calls %d: run more than once %d, reported as not run but run %d, answered but not run %d\n",
			r.Calls.Total, len(r.Calls.Duplicated), len(r.Calls.FalseNotRun), len(r.Calls.AnsweredNotRun))
	}
	fmt.Printf("completions with wrong tokens %d\n", len(r.TokenErrors))
	for _, mismatch := range r.TokenErrors {
		fmt.Println("  ", mismatch)
	}
	for _, row := range []struct {
		name string
		l    load.Latency
	}{
		{"first token", r.FirstToken},
		{"between tokens", r.BetweenTokens},
		{"complete answer", r.Completion},
		{"call", r.Call},
		{"check", r.StockCheck},
	} {
		fmt.Printf("%-15s p50 %8.1f ms  p95 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", row.name, row.l.P50, row.l.P95, row.l.P99, row.l.Max)
	}
	fmt.Printf("stalled streams %d: longest gap p50 %.0f ms, p95 %.0f ms, max %.0f ms\n",
		r.Stalled, r.Stall.P50, r.Stall.P95, r.LongestGapMS)
}
