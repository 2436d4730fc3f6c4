package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Options say what load to drive.
type Options struct {
	// Seeds are addresses of entry hosts to begin with.
	Seeds []string
	// Rate is the number of requests a second, and Duration how long they
	// are sent.
	Rate     float64
	Duration time.Duration
	// Calls and Checks are the shares of non-idempotent calls and of stock
	// checks; the rest are completions.
	Calls  float64
	Checks float64
	// CallPath and CheckPath are where those go.
	CallPath  string
	CheckPath string
	Model     string
	MaxTokens int
	Customers []string
	Timeout   time.Duration
	// Layers is the number of layers of a stand-in model, whose tokens are
	// checked; 0 checks only their positions.
	Layers int
	// Versions are those of the stand-in model that may answer.
	Versions []string
	// Executions are the addresses of stand-in services that tell what
	// they ran.
	Executions []string
	// Progress is where a line goes each second; nil for none.
	Progress io.Writer
	// Sends is how often a caller sends one request; 0 for a few times.
	Sends int
	// Pinned keeps to Seeds, and asks for no other addresses.
	Pinned bool
	// Seed makes the order of kinds and customers repeatable.
	Seed uint64
}

// Run drives the load and returns what came of it.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Sends == 0 {
		o.Sends = defaultSends
	}
	d := &driver{
		opts: o, book: newBook(o.Seeds, time.Second, o.Pinned), tally: newTally(),
		rand: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	d.drive(ctx)
	return d.tally.report(o)
}

// driver starts requests on time.
type driver struct {
	opts  Options
	book  *book
	tally *tally
	rand  *rand.Rand
}

func (d *driver) drive(ctx context.Context) {
	var requests sync.WaitGroup
	start := time.Now()
	gap := time.Duration(float64(time.Second) / d.opts.Rate)
	next := start
	shown := start
	for next.Sub(start) < d.opts.Duration && ctx.Err() == nil {
		time.Sleep(time.Until(next))
		one := d.draw(next)
		requests.Go(func() { one(ctx) })
		next = next.Add(gap)
		if d.opts.Progress != nil && time.Since(shown) >= time.Second {
			shown = time.Now()
			// A progress line that can't be written is no reason to stop.
			_, _ = fmt.Fprintln(d.opts.Progress, d.tally.line(time.Since(start)))
		}
	}
	requests.Wait()
}

// draw returns the next request, which counts its time from the intended one.
func (d *driver) draw(intended time.Time) func(ctx context.Context) {
	customer := d.opts.Customers[d.rand.IntN(len(d.opts.Customers))]
	kind := d.rand.Float64()
	nonce := d.rand.Uint64()
	switch {
	case kind < d.opts.Calls:
		return func(ctx context.Context) { d.call(ctx, customer, intended) }
	case kind < d.opts.Calls+d.opts.Checks:
		return func(ctx context.Context) { d.check(ctx, customer, intended) }
	}
	return func(ctx context.Context) { d.complete(ctx, customer, nonce, intended) }
}
