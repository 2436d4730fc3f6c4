// Rig3 plays cases of a review: it starts hosts as processes, with stand-ins for the platform, its replicas and clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

var scenarios = map[string]func(w *world, trouble bool) (broken bool){}

func init() {
	// Processes are started by the main thread, with whose end they end.
	runtime.LockOSThread()
}

func main() {
	bin := flag.String("bin", "target/bulrushd", "program")
	scenario := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the settings and logs of the hosts")
	flag.Parse()
	os.Exit(run(*bin, *scenario, *record, *trouble, *keep))
}

// run plays a case and returns the exit status: 1 if a rule was broken, 0 if it held, 2 if the case could not run.
func run(bin, scenario, record string, trouble, keep bool) (status int) {
	play, ok := scenarios[scenario]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	w := &world{}
	defer func() {
		w.stop()
		if keep {
			fmt.Println("logs in", w.dir)
		} else if w.dir != "" {
			_ = os.RemoveAll(w.dir)
		}
		if cause := recover(); cause != nil {
			fmt.Fprintln(os.Stderr, "cannot run:", cause)
			status = 2
		}
	}()
	w.open(bin, record)
	if play(w, trouble) {
		fmt.Println("broken, see", record)
		return 1
	}
	fmt.Println("held")
	return 0
}
