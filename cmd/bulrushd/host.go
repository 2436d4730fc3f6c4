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

// settingsVariable is the environment variable that holds the path of the settings
// file.
const settingsVariable = "BULRUSHSHED_SETTINGS"

type hostCommand struct{ settingsPath string }

func (*hostCommand) Name() string { return "host" }
func (*hostCommand) Synopsis() string {
	return "run an entry host on the users' platform until SIGINT or SIGTERM"
}

func (*hostCommand) Usage() string {
	return "bulrushd host [-settings host.json]\n-settings defaults to the value of " + settingsVariable + "\n"
}

func (h *hostCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&h.settingsPath, "settings", os.Getenv(settingsVariable), "settings file")
}

func (h *hostCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := settings.LoadHost(h.settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	// Further signals are ignored during the graceful shutdown.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	i := hosted.Wire(cfg)
	reloadStopped := h.reloadOnHangup(ctx, i)
	err = hosted.Run(ctx, i)
	stop()
	<-reloadStopped
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reloadOnHangup reloads the settings file on each SIGHUP until ctx is done. The
// returned channel is closed when no further reload can happen.
func (h *hostCommand) reloadOnHangup(ctx context.Context, i do.Injector) <-chan struct{} {
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
					// The host could not be built, and Run returns the reason.
					continue
				}
				host.Reload(settings.LoadHost(h.settingsPath))
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}
