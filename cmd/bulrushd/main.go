package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"bulrushshed/daemon"
	"bulrushshed/settings"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&hostCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&defaultsCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

type serveCommand struct{ settingsPath string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run an entry host until SIGINT or SIGTERM" }
func (*serveCommand) Usage() string    { return "bulrushd serve -settings entry-1.json\n" }

func (s *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settingsPath, "settings", "", "settings file")
}

func (s *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := settings.Load(s.settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	// Further signals are ignored during the graceful shutdown.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, daemon.Wire(cfg)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type checkCommand struct{ settingsPath string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a settings file" }
func (*checkCommand) Usage() string    { return "bulrushd check -settings entry-1.json\n" }

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsPath, "settings", "", "settings file")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.Load(c.settingsPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

type defaultsCommand struct{}

func (*defaultsCommand) Name() string           { return "defaults" }
func (*defaultsCommand) Synopsis() string       { return "print the default settings" }
func (*defaultsCommand) Usage() string          { return "bulrushd defaults\n" }
func (*defaultsCommand) SetFlags(*flag.FlagSet) {}

func (*defaultsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	text, err := json.MarshalIndent(settings.Default(), "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println(string(text))
	return subcommands.ExitSuccess
}
