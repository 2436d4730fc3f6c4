package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// logRequests writes, for each request, when it was sent, what was answered and where it ran.
func (r *recorder) logRequests(what string, answers []answer, ran *runs) {
	where := ran.replicas()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "requests %s: time sent, id, status, seal, run at\n", what)
	for _, a := range answers {
		fmt.Fprintf(r.file, "%.3f %s %d %t %v\n", a.sentAt.Sub(r.start).Seconds(), a.id, a.status, a.sealed, where[a.id])
	}
}
