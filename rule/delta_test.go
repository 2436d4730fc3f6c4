package rule_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/rule"
)

func TestDeltaReproducesNewText(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "ab\n", "\n"}), 0, 8)
		before := strings.Join(lines.Draw(t, "before"), "")
		after := strings.Join(lines.Draw(t, "after"), "")
		got, err := rule.NewDelta(1, before, after).Apply(before)
		if err != nil || got != after {
			t.Fatalf("got %q, %v, want %q", got, err, after)
		}
	})
}

func TestDeltaRejectsWrongBase(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := rule.NewDelta(1, "limit a\nlimit b\n", "limit a\nlimit c\n")
	_, err := d.Apply("limit x\nlimit b\n")
	is.True(err != nil)
	_, err = d.Apply("")
	is.True(err != nil)
}

// If one line of a file with a rule for each customer changes, the delta must
// be smaller than a line.
func TestDeltaOfOneLineIsSmall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	line := "limit customer=c rate=40 burst=80 # M. Ortiz: looping tablets\n"
	before := strings.Repeat(line, 5800)
	after := strings.Repeat(line, 2000) + strings.Replace(line, "40", "50", 1) + strings.Repeat(line, 3799)
	is.True(len(rule.NewDelta(1, before, after).Middle) < len(line))
}
