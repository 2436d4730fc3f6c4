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
	lookUpPause     = 500 * time.Millisecond
	lookUpTries     = 20
	fileMode        = 0o644
)

// versionLine is the comment by which a file names the version it was
// fetched as.
var versionLine = regexp.MustCompile(`(?m)^# version: (\d+)\n`)

// readRules reads a rule file; base is the version that it names, or -1.
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

func withVersion(text string, v rule.Version) string {
	return fmt.Sprintf("# version: %d\n", v) + versionLine.ReplaceAllString(text, "")
}

type checkCommand struct{ json bool }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "find all faults of a rule file" }
func (*checkCommand) Usage() string {
	return "bulrushctl check [-json] rules.txt\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the faults as JSON")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, _, err := readRules(f.Arg(0))
	if err != nil {
		return fail(subcommands.ExitUsageError, err, "name a rule file: "+c.Usage())
	}
	faults := faultsOf(text)
	if c.json {
		printJSON(struct {
			Faults []rule.Fault `json:"faults"`
		}{faults})
	} else {
		printFaults(f.Arg(0), faults)
	}
	if len(faults) > 0 {
		return exitFaulty
	}
	return subcommands.ExitSuccess
}

func faultsOf(text string) []rule.Fault {
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
		fmt.Println("no faults")
	}
}

type fetchCommand struct{ platform string }

func (*fetchCommand) Name() string     { return "fetch" }
func (*fetchCommand) Synopsis() string { return "print the rule file in force, to be edited" }
func (*fetchCommand) Usage() string    { return "bulrushctl fetch > rules.txt\n" }

func (c *fetchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
}

func (c *fetchCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fold, _, err := publication.History(platformhttp.NewClient(c.platform, platformTimeout))
	if err != nil {
		return fail(exitUnavailable, err, "try again, or read it from a host: bulrushctl status -text")
	}
	cur := fold.Current()
	fmt.Print(withVersion(cur.Text, cur.Version))
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
func (*publishCommand) Synopsis() string { return "put a rule file in force everywhere" }
func (*publishCommand) Usage() string {
	return "bulrushctl publish [-dry-run] [-base N] rules.txt\n"
}

func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
	f.StringVar(&c.author, "author", "", "who publishes; the user's name by default")
	f.Int64Var(&c.base, "base", -1, "version that was edited; by default the file's version line")
	f.BoolVar(&c.reset, "reset", false, "put the file in force whatever was before; only if every copy of that was lost")
	f.BoolVar(&c.dryRun, "dry-run", false, "check and compare only")
}

func (c *publishCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, base, err := readRules(f.Arg(0))
	if err != nil {
		return fail(subcommands.ExitUsageError, err, "name a rule file: "+c.Usage())
	}
	if faults := faultsOf(text); len(faults) > 0 {
		printFaults(f.Arg(0), faults)
		return exitFaulty
	}
	if c.base >= 0 {
		base = rule.Version(c.base)
	}
	log := platformhttp.NewClient(c.platform, platformTimeout)
	fold, _, err := publication.History(log)
	if err != nil {
		return fail(exitUnavailable, err, "nothing was published; try again")
	}
	cur := fold.Current()
	if base < 0 && cur.Version == 0 {
		base = 0
	}
	if base != cur.Version && !c.reset {
		return c.conflict(base, cur, text)
	}
	fmt.Print(rule.Diff(cur.Text, text))
	if c.dryRun {
		fmt.Printf("would be published over version %d\n", base)
		return subcommands.ExitSuccess
	}
	return c.publish(log, f.Arg(0), text, base)
}

// conflict tells that another version is in force than the one edited.
func (c *publishCommand) conflict(base rule.Version, cur rule.ActiveFile, text string) subcommands.ExitStatus {
	edited := fmt.Sprintf("version %d", base)
	if base < 0 {
		edited = "an unknown version"
	}
	err := fmt.Errorf("conflict: the file was edited from %s, but version %d by %s is in force, and differs",
		edited, cur.Version, cur.Author)
	fmt.Fprintln(os.Stderr, err)
	fmt.Print(rule.Diff(cur.Text, text))
	return fail(exitConflict, errors.New("nothing was published"),
		"bulrushctl fetch, edit again, and publish; or say -base to replace it all")
}

func (c *publishCommand) publish(log *platformhttp.Client, path, text string, base rule.Version) subcommands.ExitStatus {
	p := rule.Publication{ID: publication.NewID(), Base: base, Author: c.name(), Reset: c.reset, Text: versionLine.ReplaceAllString(text, "")}
	v, err := publication.Publish(log, p, lookUpPause, lookUpTries)
	var e *publication.Error
	switch {
	case err == nil:
	case errors.As(err, &e) && e.Kind == publication.KindConflict:
		return fail(exitConflict, err, "bulrushctl fetch, edit again, and publish")
	case errors.As(err, &e) && e.Kind == publication.KindUnknown:
		return fail(exitUnknown, err, "bulrushctl history shows whether "+p.ID+" was accepted")
	default:
		return fail(exitUnavailable, err, "nothing was published; try again")
	}
	fmt.Printf("in force as version %d\n", v)
	if err := os.WriteFile(path, []byte(withVersion(text, v)), fileMode); err != nil {
		return fail(subcommands.ExitFailure, err, "the file was published; its version line is not up to date")
	}
	return subcommands.ExitSuccess
}

func (c *publishCommand) name() string {
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
func (*diffCommand) Synopsis() string { return "compare a rule file with the one in force" }
func (*diffCommand) Usage() string    { return "bulrushctl diff rules.txt\n" }

func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
}

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, _, err := readRules(f.Arg(0))
	if err != nil {
		return fail(subcommands.ExitUsageError, err, "name a rule file: "+c.Usage())
	}
	fold, _, err := publication.History(platformhttp.NewClient(c.platform, platformTimeout))
	if err != nil {
		return fail(exitUnavailable, err, "try again")
	}
	fmt.Print(rule.Diff(fold.Current().Text, versionLine.ReplaceAllString(text, "")))
	return subcommands.ExitSuccess
}

type historyCommand struct {
	platform string
	json     bool
}

func (*historyCommand) Name() string     { return "history" }
func (*historyCommand) Synopsis() string { return "list the publications that the log still keeps" }
func (*historyCommand) Usage() string    { return "bulrushctl history [-json]\n" }

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", defaultPlatform, "base URL of the platform")
	f.BoolVar(&c.json, "json", false, "print as JSON")
}

func (c *historyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, steps, err := publication.History(platformhttp.NewClient(c.platform, platformTimeout))
	if err != nil {
		return fail(exitUnavailable, err, "try again")
	}
	if c.json {
		return printJSON(struct {
			Publications []publication.HistoryEntry `json:"publications"`
		}{steps})
	}
	for _, s := range steps {
		fmt.Printf("%6d  base %6d  %-9s %s  %s\n", s.Offset, s.Base, s.Verdict, s.ID, s.Author)
	}
	return subcommands.ExitSuccess
}
