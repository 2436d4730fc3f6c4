package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"bulrushshed/daemon/hosted"
	"bulrushshed/settings"
)

// settingsVariable names the environment variable with the path of the
// settings file.
const settingsVariable = "BULRUSHSHED_SETTINGS"

type hostCommand struct{ settings string }

func (*hostCommand) Name() string     { return "host" }
func (*hostCommand) Synopsis() string { return "serve callers on the users' platform" }
func (*hostCommand) Usage() string {
	return "bulrushd host [-settings host.json]\nwithout the flag, " + settingsVariable + " names the file\n"
}

func (h *hostCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&h.settings, "settings", os.Getenv(settingsVariable), "settings file")
}

func (h *hostCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := settings.LoadHost(h.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	// Further signals during the graceful stop do nothing.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := hosted.Run(ctx, hosted.Wire(cfg)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
