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
)

// Exit codes in addition to those of package subcommands.
const (
	exitInvalid     subcommands.ExitStatus = 3
	exitConflict    subcommands.ExitStatus = 4
	exitUnavailable subcommands.ExitStatus = 5
	exitUnknown     subcommands.ExitStatus = 6
	exitViolation   subcommands.ExitStatus = 7
)

const defaultPlatform = "http://127.0.0.1:9000"

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range []subcommands.Command{
		&checkCommand{}, &fetchCommand{}, &diffCommand{}, &publishCommand{}, &historyCommand{},
		&statusCommand{}, &explainCommand{}, &keysCommand{}, &loadCommand{},
	} {
		subcommands.Register(c, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// fail prints an error and a hint on how to resolve it, if there is one, and
// returns status.
func fail(status subcommands.ExitStatus, err error, hint string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	if hint != "" {
		fmt.Fprintln(os.Stderr, "next:", hint)
	}
	return status
}

// printJSON prints a value as indented JSON.
func printJSON(v any) subcommands.ExitStatus {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fail(subcommands.ExitFailure, err, "")
	}
	fmt.Println(string(text))
	return subcommands.ExitSuccess
}
