package claim_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bulrushshed/claim"
	"bulrushshed/outcome"
)

// Batches that a restored log may have lost are appended again, in order and before the
// last one, so that a journal does not seem complete without them.
func TestBatchesAreAppendedAgainAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	j := claim.NewJournal(claim.Home{Host: "a", Incarnation: 1}, 1, 100)
	j.ObserveEra(1)
	appendOne := func() int64 {
		b, ok := j.Next()
		is.True(ok)
		j.MarkAppended(b.Seq)
		return b.Seq
	}
	for n := range 3 {
		j.Add(fmt.Sprintf("key-%d", n), claim.Result{Answer: outcome.Answer{Status: 200}})
		is.Equal(appendOne(), int64(n+1))
	}
	j.Add("key-3", claim.Result{Answer: outcome.Answer{Status: 200}})
	_, ok := j.Next() // in flight while the log is restored
	is.True(ok)
	j.ObserveEra(1)
	j.ObserveEra(2)
	_, ok = j.Settle()
	is.True(!ok)
	for n := range 4 {
		is.Equal(appendOne(), int64(n+1))
	}
	b, ok := j.Settle()
	is.True(ok)
	is.Equal(b.Seq, int64(5))
}
