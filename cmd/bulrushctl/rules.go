package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/user"
	"regexp"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"bulrushshed/platformhttp"
	"bulrushshed/publication"
	"bulrushshed/rule"
)

const (
	platformTimeout = 5 * time.Second
	// lookupInterval and lookupAttempts limit the search of the log for a
	// publication that was sent.
	lookupInterval = 500 * time.Millisecond
	lookupAttempts = 20
	fileMode       = 0o644
)

// versionLine matches the comment in a fetched rule file that records which
// version it is.
var versionLine = regexp.MustCompile(`(?m)^# version: (\d+)\n`)

// readRules reads a rule file; base is the version in its version line, or -1 if it
// has none.
func readRules(path string) (text string, base rule.Version, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", 0, err
	}
	text = string(raw)
	found := versionLine.FindStringSubmatch(text)
	if found == nil {
		return text, -1, nil
	}
	n, err := strconv.ParseInt(found[1], 10, 64)
	return text, rule.Version(n), err
}

// withVersionLine replaces the version line of a rule file.
func withVersionLine(text string, v rule.Version) string {
	return fmt.Sprintf("# version: %d\n", v) + versionLine.ReplaceAllString(text, "")
}

type checkCommand struct{ json bool }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a rule file and list its errors" }
func (*checkCommand) Usage() string {
	return "bulrushctl check [-json] rules.txt\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the errors as JSON")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, _, err := readRules(f.Arg(0))
	if err != nil {
		return fail(subcommands.ExitUsageError, err, "specify a rule file: "+c.Usage())
	}
	faults := findFaults(text)
	if c.json {
		printJSON(struct {
			Faults []rule.Fault `json:"faults"`
		}{faults})
	} else {
		printFaults(f.Arg(0), faults)
	}
	if len(faults) > 0 {
		return exitInvalid
	}
	return subcommands.ExitSuccess
}

func findFaults(text string) []rule.Fault {
	_, err := rule.Parse(text)
	var e *rule.Error
	if errors.As(err, &e) {
		return e.Faults
	}
	return []rule.Fault{}
}

func printFaults(path string, faults []rule.Fault) {
	for _, f := range faults {
		fmt.Printf("%s:%s\n", path, f)
	}
	if len(faults) == 0 {
		fmt.Println("no errors found")
	}
}

type fetchCommand struct{ platform string }

func (*fetchCommand) Name() string     { return "fetch" }
func (*fetchCommand) Synopsis() string { return "print the active rule file, for editing" }
func (*fetchCommand) Usage() string    { return "bulrushctl fetch > rules.txt\n" }

func (c *fetchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
}

func (c *fetchCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	machine, _, err := publication.History(platformhttp.NewClient(c.platform, platformTimeout))
	if err != nil {
		return fail(exitUnavailable, err, "try again, or read the file from a host: bulrushctl status -text")
	}
	cur := machine.Current()
	fmt.Print(withVersionLine(cur.Text, cur.Version))
	return subcommands.ExitSuccess
}

type publishCommand struct {
	platform string
	author   string
	base     int64
	dryRun   bool
	reset    bool
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "activate a rule file on all hosts" }
func (*publishCommand) Usage() string {
	return "bulrushctl publish [-dry-run] [-base N] rules.txt\n"
}

func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
	f.StringVar(&c.author, "author", "", "author of the publication; by default the name of the current user")
	f.Int64Var(&c.base, "base", -1, "version that the file was edited from; by default the one in its version line")
	f.BoolVar(&c.reset, "reset", false, "activate the file whatever the active version is; use only if all copies of the active file are lost")
	f.BoolVar(&c.dryRun, "dry-run", false, "check the file and show the differences, but publish nothing")
}

func (c *publishCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, base, err := readRules(f.Arg(0))
	if err != nil {
		return fail(subcommands.ExitUsageError, err, "specify a rule file: "+c.Usage())
	}
	if faults := findFaults(text); len(faults) > 0 {
		printFaults(f.Arg(0), faults)
		return exitInvalid
	}
	if c.base >= 0 {
		base = rule.Version(c.base)
	}
	log := platformhttp.NewClient(c.platform, platformTimeout)
	machine, _, err := publication.History(log)
	if err != nil {
		return fail(exitUnavailable, err, "nothing was published; try again")
	}
	cur := machine.Current()
	if base < 0 && cur.Version == 0 {
		base = 0
	}
	if base != cur.Version && !c.reset {
		return c.conflict(base, cur, text)
	}
	fmt.Print(rule.Diff(cur.Text, text))
	if c.dryRun {
		fmt.Printf("dry run: would be published with base version %d\n", base)
		return subcommands.ExitSuccess
	}
	return c.publish(log, f.Arg(0), text, base)
}

// conflict reports that the active version is not the one that was edited.
func (c *publishCommand) conflict(base rule.Version, cur rule.ActiveFile, text string) subcommands.ExitStatus {
	edited := fmt.Sprintf("version %d", base)
	if base < 0 {
		edited = "an unknown version"
	}
	err := fmt.Errorf("conflict: the file was edited from %s, but the active version is %d by %s; the differences are on standard output",
		edited, cur.Version, cur.Author)
	fmt.Fprintln(os.Stderr, err)
	fmt.Print(rule.Diff(cur.Text, text))
	return fail(exitConflict, errors.New("nothing was published"),
		"get the active file with bulrushctl fetch, edit it and publish again, or publish with -base to replace it")
}

func (c *publishCommand) publish(log *platformhttp.Client, path, text string, base rule.Version) subcommands.ExitStatus {
	p := rule.Publication{ID: publication.NewID(), Base: base, Author: c.authorName(), Reset: c.reset, Text: versionLine.ReplaceAllString(text, "")}
	v, err := publication.Publish(log, p, lookupInterval, lookupAttempts)
	var e *publication.Error
	switch {
	case err == nil:
	case errors.As(err, &e) && e.Kind == publication.KindConflict:
		return fail(exitConflict, err, "get the active file with bulrushctl fetch, edit it and publish again")
	case errors.As(err, &e) && e.Kind == publication.KindUnknown:
		return fail(exitUnknown, err, "check with bulrushctl history whether "+p.ID+" was accepted")
	default:
		return fail(exitUnavailable, err, "nothing was published; try again")
	}
	fmt.Printf("published as version %d\n", v)
	if err := os.WriteFile(path, []byte(withVersionLine(text, v)), fileMode); err != nil {
		return fail(subcommands.ExitFailure, err, "the rules were published, but the version line of the file could not be updated")
	}
	return subcommands.ExitSuccess
}

func (c *publishCommand) authorName() string {
	if c.author != "" {
		return c.author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type diffCommand struct{ platform string }

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "compare a rule file with the active one" }
func (*diffCommand) Usage() string    { return "bulrushctl diff rules.txt\n" }

func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
}

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, _, err := readRules(f.Arg(0))
	if err != nil {
		return fail(subcommands.ExitUsageError, err, "specify a rule file: "+c.Usage())
	}
	machine, _, err := publication.History(platformhttp.NewClient(c.platform, platformTimeout))
	if err != nil {
		return fail(exitUnavailable, err, "try again")
	}
	fmt.Print(rule.Diff(machine.Current().Text, versionLine.ReplaceAllString(text, "")))
	return subcommands.ExitSuccess
}

type historyCommand struct {
	platform string
	json     bool
}

func (*historyCommand) Name() string     { return "history" }
func (*historyCommand) Synopsis() string { return "list the publications that the log still contains" }
func (*historyCommand) Usage() string    { return "bulrushctl history [-json]\n" }

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
	f.BoolVar(&c.json, "json", false, "print as JSON")
}

func (c *historyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, entries, err := publication.History(platformhttp.NewClient(c.platform, platformTimeout))
	if err != nil {
		return fail(exitUnavailable, err, "try again")
	}
	if c.json {
		return printJSON(struct {
			Publications []publication.HistoryEntry `json:"publications"`
		}{entries})
	}
	for _, e := range entries {
		fmt.Printf("%6d  base %6d  %-9s %s  %s\n", e.Offset, e.Base, e.Verdict, e.ID, e.Author)
	}
	return subcommands.ExitSuccess
}
