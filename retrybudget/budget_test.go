package retrybudget_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/retrybudget"
)

// borrowTime is how long a request may wait for tokens.
const borrowTime = 60 * time.Millisecond

// calm is long enough for hosts to have their whole share.
const calm = 30 * time.Second

func TestHostWithoutTokensBorrows(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		hosts int
		// silent and old are the numbers of other hosts that do not answer, and that are
		// of an older build.
		silent, old int
		want        int
	}{
		{"alone", 1, 0, 0, 24},
		{"one of two", 2, 0, 0, 24},
		{"one of six", 6, 0, 0, 20},
		{"some do not answer", 6, 2, 0, 12},
		{"some are of an older build", 6, 0, 2, 12},
		{"none answers", 6, 5, 0, 4},
		{"all others are of an older build", 6, 0, 5, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(c.hosts, retrybudget.Options{Extra: 30})
				n.run(calm, 0)
				for i := range c.silent {
					n.silent[address(c.hosts-1-i)] = true
				}
				for i := range c.old {
					n.old[address(c.hosts-1-i)] = true
				}
				got := 0
				for range 60 {
					asked := time.Now()
					got += n.burst(0, 1, retrybudget.Retry{})
					is.True(time.Since(asked) <= borrowTime)
					time.Sleep(50 * time.Millisecond)
				}
				is.True(got >= c.want)
				is.True(got <= 24) // 0.8 of the rule
			})
		})
	}
}

// Where each host has less than a token, they are of use together.
func TestFractionsOfTokensAreBorrowed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(91, retrybudget.Options{Extra: 100})
		n.run(calm, 0)
		got := 0
		for range 50 {
			got += n.burst(0, 1, retrybudget.Retry{})
			time.Sleep(100 * time.Millisecond)
		}
		if got < 15 {
			t.Errorf("got %d retries, want at least 15", got)
		}
	})
}

// Asking costs nothing while there are tokens, and little while there are none anywhere.
func TestQuestionsAreFew(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(9, retrybudget.Options{Extra: 90})
		n.run(calm, 0)
		is.Equal(n.burst(0, 8, retrybudget.Retry{}), 8)
		is.Equal(n.questions[0], 0)
		for range 5 {
			before := n.questions[0]
			for range 20 {
				n.burst(0, 100, retrybudget.Retry{})
				time.Sleep(50 * time.Millisecond)
			}
			is.True(n.questions[0]-before <= 40) // in a bit more than a second
		}
	})
}

// A retry that may not wait is refused at once although others would lend.
func TestRetryThatDoesNotWait(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(3, retrybudget.Options{Extra: 30})
		n.run(calm, 0)
		is.Equal(n.burst(0, 20, retrybudget.Retry{NoWait: true}), 8)
		is.Equal(n.questions[0], 0)
		d := n.budgets[0].AllowRetry(t.Context(), retrybudget.Retry{Service: service, NoWait: true})
		is.True(!d.Allowed)
		is.Equal(d.State, retrybudget.State{Spent: 8, Hosts: 3})
	})
}

// Of the retries that wait for tokens, streams that their callers already read go first, and
// then the most urgent ones.
func TestUrgentRetriesGoFirst(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(2, retrybudget.Options{Extra: 20})
		n.run(calm, 0)
		is.Equal(n.burst(0, 8, retrybudget.Retry{NoWait: true}), 8)
		is.Equal(n.burst(1, 5, retrybudget.Retry{NoWait: true}), 5) // three are left to be lent
		var mu sync.Mutex
		var all sync.WaitGroup
		allowed := map[retrybudget.Retry]int{}
		retry := func(r retrybudget.Retry) {
			r.Service = service
			all.Go(func() {
				if n.budgets[0].AllowRetry(context.Background(), r).Allowed {
					mu.Lock()
					defer mu.Unlock()
					r.Service = ""
					allowed[r]++
				}
			})
		}
		for range 4 {
			retry(retrybudget.Retry{Priority: 2})
		}
		retry(retrybudget.Retry{Priority: 1})
		retry(retrybudget.Retry{Priority: 5, Begun: true})
		all.Wait()
		is.Equal(allowed[retrybudget.Retry{Priority: 5, Begun: true}], 1)
		is.True(allowed[retrybudget.Retry{Priority: 1}] >= allowed[retrybudget.Retry{Priority: 2}])
	})
}

// A caller that leaves while its request waits does not hold up others.
func TestCanceledRetryLeavesTheQueue(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(2, retrybudget.Options{Extra: 20})
		n.run(calm, 0)
		is.Equal(n.burst(0, 8, retrybudget.Retry{NoWait: true}), 8)
		n.silent[address(1)] = true
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		is.True(!n.budgets[0].AllowRetry(ctx, retrybudget.Retry{Service: service}).Allowed)
		is.True(time.Since(began) < borrowTime)
		time.Sleep(2 * time.Second) // the silent host is asked again
		n.mu.Lock()
		n.silent[address(1)] = false
		n.mu.Unlock()
		is.Equal(n.burst(0, 1, retrybudget.Retry{}), 1)
	})
}
