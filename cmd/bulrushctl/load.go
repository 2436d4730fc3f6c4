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
	opts       load.Options
	seeds      string
	customers  string
	versions   string
	executions string
	json       bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "drive load as callers would, and check the answers" }
func (*loadCommand) Usage() string {
	return "bulrushctl load -entries 127.0.1.1:8080 -rate 50 -duration 10s\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.seeds, "entries", "127.0.1.1:8080", "addresses of entry hosts to begin with, by comma")
	f.Float64Var(&c.opts.Rate, "rate", 50, "requests a second")
	f.DurationVar(&c.opts.Duration, "duration", 10*time.Second, "how long to send")
	f.Float64Var(&c.opts.Calls, "calls", 0.3, "share of non-idempotent calls")
	f.Float64Var(&c.opts.Checks, "checks", 0.3, "share of stock checks")
	f.StringVar(&c.opts.CallPath, "call-path", "/dispatch/confirm", "path of non-idempotent calls")
	f.StringVar(&c.opts.CheckPath, "check-path", "/stock/pallets", "path of stock checks")
	f.StringVar(&c.opts.Model, "model", "assistant", "model of completions")
	f.IntVar(&c.opts.MaxTokens, "tokens", 20, "tokens of a completion")
	f.DurationVar(&c.opts.Timeout, "timeout", 30*time.Second, "how long a caller waits")
	f.IntVar(&c.opts.Layers, "layers", 0, "layers of a stand-in model, to check its tokens")
	f.StringVar(&c.versions, "versions", "v1", "versions of a stand-in model that may answer, by comma")
	f.StringVar(&c.customers, "customers", "puebla,toluca,mohacs", "customers, by comma")
	f.StringVar(&c.executions, "executions", "", "addresses of stand-in services, to check what they ran")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "seed of the order of requests")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.Seeds = strings.Split(c.seeds, ",")
	c.opts.Versions = strings.Split(c.versions, ",")
	c.opts.Customers = strings.Split(c.customers, ",")
	if c.executions != "" {
		c.opts.Executions = strings.Split(c.executions, ",")
	}
	c.opts.Progress = os.Stderr
	r, err := load.Run(ctx, c.opts)
	if err != nil {
		return fail(subcommands.ExitFailure, err, "the services' executions could not be read, so nothing is proved")
	}
	if c.json {
		printJSON(r)
	} else {
		printReport(r)
	}
	if r.Broken() {
		return exitBroken
	}
	return subcommands.ExitSuccess
}

func printReport(r load.Report) {
	fmt.Printf("sent %d, whole %d, refused as not run %d, unknown %d, restarted by callers %d\n",
		r.Sent, r.Whole, r.NotRun, r.Unknown, r.Restarted)
	if r.Checked {
		fmt.Printf("keys of non-idempotent calls %d: doubled %d, false not run %d, answered but not run %d\n",
			r.Calls.Calls, len(r.Calls.Doubled), len(r.Calls.FalseNotRun), len(r.Calls.Phantom))
	}
	fmt.Printf("answers with wrong tokens %d\n", len(r.TokensWrong))
	for _, w := range r.TokensWrong {
		fmt.Println("  ", w)
	}
	for _, row := range []struct {
		name string
		l    load.Latency
	}{
		{"first token", r.FirstToken},
		{"between tokens", r.Between},
		{"whole answer", r.Answer},
		{"call", r.Call},
		{"check", r.Check},
	} {
		fmt.Printf("%-15s p50 %8.1f ms  p95 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", row.name, row.l.P50, row.l.P95, row.l.P99, row.l.Max)
	}
	fmt.Printf("recovery time: %d streams stalled, p50 %.0f ms, p95 %.0f ms, longest %.0f ms\n",
		r.Stalled, r.Stall.P50, r.Stall.P95, r.LongestGapMS)
}
