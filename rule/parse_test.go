package rule_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/rule"
)

// Each line holds a rule file of one line, the separator ###, and the faults
// that Parse must report for it. Valid lines have none.
const singleLineCases = `
limit customer=puebla rate=40/s burst=80 # M. Ortiz: looping tablets           ###
class path=/dispatch/* service=dispatch idempotent=no deadline=5s # R. Vega: x ###
model name=assistant version=v1 layers=80 objective=recovery # head office: y  ###
endpoint name=fast-* fences=yes # platform team: they refuse old orders        ###
# a comment of its own                                                         ###
limit customer=puebla rate=40 burst=80                                         ### 1:39: got no comment, want "# who: why" on the same line
limit customer=puebla rate=40 burst=80 # because                               ### 1:39: got a comment without who and why, want "# who: why"
limit customer=puebla rate=40 burst=80 # ortiz:                                ### 1:39: got a comment without who and why, want "# who: why"
limits customer=puebla rate=40 burst=80 # o: w                                 ### 1:1: got verb "limits", did you mean "limit"?
limit custmer=puebla rate=40 burst=80 # o: w                                   ### 1:1: got limit without customer, want customer=...; 1:7: got key "custmer", did you mean "customer"?
limit customer=puebla rate=fast burst=80 # o: w                                ### 1:28: got "fast", want a number above 0 and at most 1e9
limit customer=puebla rate=NaN/s burst=NaN # o: w                              ### 1:28: got "NaN/s", want a number above 0 and at most 1e9; 1:40: got "NaN", want a number above 0 and at most 1e9
limit customer=puebla rate=-1 burst=0 # o: w                                   ### 1:28: got "-1", want a number above 0 and at most 1e9; 1:37: got "0", want a number above 0 and at most 1e9
limit customer=puebla rate=4 rate=5 burst=80 # o: w                            ### 1:30: got rate twice, want it once
limit customer=puebla rate burst=80 # o: w                                     ### 1:1: got limit without rate, want rate=...; 1:23: got rate, want key=value
class path=dispatch service=d idempotent=no deadline=5s # o: w                 ### 1:12: got path "dispatch", want one that starts with /
class path=/d service=d idempotent=maybe deadline=5s # o: w                    ### 1:36: got "maybe", want yes or no
class path=/d service=d idempotent=no deadline=2h # o: w                       ### 1:48: got deadline "2h", want a duration such as 5s, at most 1h0m0s
class path=/d service=d idempotent=no deadline=5s priority=hgh # o: w          ### 1:60: got priority "hgh", did you mean "high"?
model name=m version=v adapter=a layers=8 objective=throughput placement=auto # o: w ###
model name=m version=v+a layers=8 objective=throughput # o: w                  ### 1:22: got "v+a", want a name without +
model name=m version=v layers=8 objective=fast placement=atuo # o: w           ### 1:43: got objective "fast", want one of recovery, throughput; 1:58: got placement "atuo", did you mean "auto"?
endpoint name=slow-* role=standby # o: w                                       ###
endpoint name=slow-* role=stanby # o: w                                        ### 1:27: got role "stanby", did you mean "standby"?
model name=m version=v layers=0 objective=recovery # o: w                      ### 1:31: got "0" layers, want 1 to 1024
`

func TestParseSingleLines(t *testing.T) {
	t.Parallel()
	for _, line := range strings.Split(strings.TrimSpace(singleLineCases), "\n") {
		text, want, _ := strings.Cut(line, "###")
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, err := rule.Parse(strings.TrimRight(text, " "))
			is.Equal(joinFaults(err), strings.TrimSpace(want))
		})
	}
}

func joinFaults(err error) string {
	var e *rule.Error
	if !errors.As(err, &e) {
		return ""
	}
	var all []string
	for _, f := range e.Faults {
		all = append(all, f.String())
	}
	return strings.Join(all, "; ")
}

func TestParseReportsAllFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := rule.Parse("limit customer=a rate=1 burst=1 # o: w\nlimit customer=a rate=2 burst=1 # o: w\nfoo\n")
	is.Equal(joinFaults(err), `2:1: got a limit for customer a twice, want it only on line 1; `+
		`3:1: got verb "foo", want one of class, endpoint, limit, model; `+
		`3:4: got no comment, want "# who: why" on the same line`)
}

func TestClassReturnsLongestMatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, err := rule.Parse(`
class path=/* service=all idempotent=no deadline=1s # o: w
class path=/stock/* service=stock idempotent=yes deadline=2s # o: w
`)
	is.NoErr(err)
	c, ok := f.Class("/stock/pallets")
	is.True(ok)
	is.Equal(c.Service, "stock")
	is.True(c.Idempotent)
	is.Equal(c.Deadline, 2*time.Second)
	c, ok = f.Class("/dispatch/confirm")
	is.True(ok)
	is.Equal(c.Service, "all")
}
