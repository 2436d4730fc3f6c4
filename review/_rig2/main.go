package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitBroken    = 1
	exitCannotRun = 2
)

// errCannotRun means that a case could not be played.
var errCannotRun = errors.New("the case could not be played")

// scene is what a case plays with.
type scene struct {
	rec     *recorder
	trouble bool
	dir     string
}

// play plays a case and returns how the rule was broken, or "".
type play func(s *scene) (broken string, err error)

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	record := flag.String("record", "record.txt", "file for what was seen")
	dir := flag.String("dir", "", "temporary folder")
	flag.Parse()
	cases := map[string]play{"revoked-page": playRevokedPage, "stale-rejection": playStaleRejection, "odd-entry": playOddEntry, "own-failure": playOwnFailure, "field-name": playFieldName}
	rec, err := newRecorder(*record)
	if err != nil || cases[*name] == nil {
		fmt.Fprintln(os.Stderr, "cannot run:", *name, err)
		os.Exit(exitCannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stopAll()
		os.Exit(exitCannotRun)
	}()
	broken, err := cases[*name](&scene{rec: rec, trouble: *trouble, dir: *dir})
	stopAll()
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitCannotRun)
	case broken != "":
		rec.logf("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	}
	rec.logf("held")
	fmt.Println("held")
}
