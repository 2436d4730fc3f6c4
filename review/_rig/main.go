// Rig plays a case of the review: it starts the project's hosts as processes of their
// own and stands in for the platform's store, the replicas, the operator and the
// clients, all on loopback addresses. It exits with 1 if the rule of the case was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases has the function that plays each case. It returns the reason if the rule was
// broken, or "".
var cases = map[string]func(d *deployment, trouble bool) (broken string, err error){}

func main() {
	// The processes are killed when the thread that started them ends, so it must last.
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig: no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func runCase(play func(*deployment, bool) (string, error), program, recordPath string, trouble bool) int {
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(program, rec)
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig: the case could not run:", err)
		return exitNotRun
	}
	defer d.close()
	broken, err := play(d, trouble)
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig: the case could not run:", err)
		return exitNotRun
	case broken != "":
		rec.note("RULE BROKEN: %s", broken)
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
