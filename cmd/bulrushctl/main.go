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
	// exitInvalid means that a rule file has errors.
	exitInvalid subcommands.ExitStatus = 3
	// exitConflict means that a rule file was not published, because it is based
	// on a version that is not the active one.
	exitConflict subcommands.ExitStatus = 4
	// exitUnavailable means that the platform or an entry host did not answer.
	exitUnavailable subcommands.ExitStatus = 5
	// exitUnknown means that a publication may or may not have been accepted.
	exitUnknown subcommands.ExitStatus = 6
	// exitViolation means that a load report shows a violated invariant.
	exitViolation subcommands.ExitStatus = 7
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
