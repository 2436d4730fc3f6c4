package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/samber/do/v2"

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
	i := hosted.Wire(cfg)
	reloaded := h.reload(ctx, i)
	err = hosted.Run(ctx, i)
	stop()
	<-reloaded
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reload reads the settings again at each SIGHUP, until ctx ends.
func (h *hostCommand) reload(ctx context.Context, i do.Injector) <-chan struct{} {
	done := make(chan struct{})
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer close(done)
		for {
			select {
			case <-hup:
				host, err := do.Invoke[*hosted.Host](i)
				if err != nil {
					// Run reports why there is no host.
					continue
				}
				host.Reload(settings.LoadHost(h.settings))
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}
