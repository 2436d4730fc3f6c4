package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Options configure a load.
type Options struct {
	// Seeds are the initial addresses of entry hosts.
	Seeds []string
	// Rate is the number of requests per second, which are sent for Duration.
	Rate     float64
	Duration time.Duration
	// Calls and Checks are the shares of non-idempotent calls and of stock
	// checks among the requests; the rest are completions.
	Calls       float64
	StockChecks float64
	// CallPath and CheckPath are the paths of calls and of stock checks.
	CallPath       string
	StockCheckPath string
	Model          string
	MaxTokens      int
	Customers      []string
	Timeout        time.Duration
	// Layers is the number of layers of a stand-in model, whose tokens are
	// known and are checked. If it is 0, tokens are not checked.
	Layers int
	// Versions are the versions of the stand-in model that may respond.
	Versions []string
	// ServiceAddresses are the addresses of the stand-in services whose lists of
	// executions the calls are checked against.
	ServiceAddresses []string
	// Progress receives a line per second, unless it is nil.
	Progress io.Writer
	// MaxAttempts is the maximum number of attempts per request; 0 means 5.
	MaxAttempts int
	// SeedsOnly restricts callers to Seeds and disables the discovery of other
	// addresses.
	SeedsOnly bool
	// RandomSeed makes the sequence of request kinds and customers reproducible.
	RandomSeed uint64
}

// Run generates the load and returns the results.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	d := &driver{
		opts: o, addresses: newAddressBook(o.Seeds, time.Second, o.SeedsOnly), recorder: newRecorder(),
		rand: rand.New(rand.NewPCG(o.RandomSeed, o.RandomSeed)),
	}
	d.run(ctx)
	return d.recorder.report(o)
}

// driver starts each request at its intended time.
type driver struct {
	opts      Options
	addresses *addressBook
	recorder  *recorder
	rand      *rand.Rand
}

func (d *driver) run(ctx context.Context) {
	var requests sync.WaitGroup
	start := time.Now()
	interval := time.Duration(float64(time.Second) / d.opts.Rate)
	next := start
	lastProgress := start
	for next.Sub(start) < d.opts.Duration && ctx.Err() == nil {
		time.Sleep(time.Until(next))
		request := d.nextRequest(next)
		requests.Go(func() { request(ctx) })
		next = next.Add(interval)
		if d.opts.Progress != nil && time.Since(lastProgress) >= time.Second {
			lastProgress = time.Now()
			// A progress line that can't be written does not stop the load.
			_, _ = fmt.Fprintln(d.opts.Progress, d.recorder.progressLine(time.Since(start)))
		}
	}
	requests.Wait()
}

// nextRequest returns a function that sends the next request and measures its
// latency from the intended time.
func (d *driver) nextRequest(intended time.Time) func(ctx context.Context) {
	customer := d.opts.Customers[d.rand.IntN(len(d.opts.Customers))]
	draw := d.rand.Float64()
	nonce := d.rand.Uint64()
	switch {
	case draw < d.opts.Calls:
		return func(ctx context.Context) { d.call(ctx, customer, intended) }
	case draw < d.opts.Calls+d.opts.StockChecks:
		return func(ctx context.Context) { d.checkStock(ctx, customer, intended) }
	}
	return func(ctx context.Context) { d.requestCompletion(ctx, customer, nonce, intended) }
}
