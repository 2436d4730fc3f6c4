package directory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/directory"
	"bulrushshed/engine"
	"bulrushshed/hostlog"
	"bulrushshed/route"
	"bulrushshed/rule"
)

var (
	start = time.Unix(1000, 0)
	opts  = directory.Options{StatusTTL: 5 * time.Second, SuspectTTL: time.Second}
)

func host(name string, incarnation int64, state hostlog.State) hostlog.Host {
	return hostlog.Host{Name: name, Role: hostlog.RoleEngine, Incarnation: incarnation, State: state}
}

func status(name string, incarnation int64, version string, from, to int) engine.Status {
	return engine.Status{Holding: route.Holding{
		Endpoint: name, Incarnation: incarnation, Model: "m", Version: version, Slots: 8, LayerTime: time.Millisecond,
		Layers: route.Range{From: from, To: to},
	}}
}

// Each line lists updates about one engine in order of arrival, and whether the
// engine accepts new work afterwards. The digit of an update is the incarnation
// that it refers to. Between updates, wait lets 2 s pass, which is longer than
// SuspectTTL, and silence 10 s, which is longer than StatusTTL.
func TestUpdateSequences(t *testing.T) {
	t.Parallel()
	for _, line := range strings.Split(strings.TrimSpace(`
list1 status1                          -> used
list1                                  -> not used
list1 status1 leave1                   -> not used
list1 status1 leave1 status1           -> not used
list1 status1 leave1 list1             -> not used
list1 status1 leave1 list2 status2     -> used
list1 status1 leave1 status2           -> used
list1 status1 list2 leave1 status2     -> used
leave1 list1 status1                   -> not used
update1 status1                        -> used
list1 status1 gone1                    -> used
list1 status1 silence gone1            -> not used
list2 status2 gone1                    -> used
leave2 list1 status1                   -> not used
list2 status2 list1                    -> used
list2 status2 status1                  -> used
list1 status1 suspect1                 -> not used
list1 status1 suspect1 wait            -> not used
list1 status1 suspect1 wait status1    -> used
list1 status1 suspect1 status2         -> used
list2 status2 suspect1                 -> used
list1 status1 silence                  -> not used
`), "\n") {
		updates, want, _ := strings.Cut(line, "->")
		t.Run(strings.TrimSpace(updates), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := directory.New(opts)
			now := start
			for _, word := range strings.Fields(updates) {
				now = now.Add(time.Millisecond)
				n := int64(word[len(word)-1] - '0')
				switch strings.TrimRight(word, "12") {
				case "list":
					d.ReplaceList([]hostlog.Host{host("e", n, hostlog.StateLive)}, now)
				case "status":
					d.UpdateStatus("e", status("e", n, "v", 0, 4), now)
				case "leave":
					d.MarkLeaving(directory.LeaveNotice{Host: "e", Incarnation: n}, now)
				case "update":
					d.UpdateHost(host("e", n, hostlog.StateLive), now)
				case "gone":
					d.MarkUnlisted("e", n, now)
				case "suspect":
					d.Suspect("e", n, now)
				case "wait":
					now = now.Add(2 * time.Second)
				case "silence":
					now = now.Add(10 * time.Second)
				default:
					t.Fatalf("unknown update %q", word)
				}
			}
			d.Refresh(now)
			got := "not used"
			if len(d.View().Holdings) == 1 {
				got = "used"
			}
			is.Equal(got, strings.TrimSpace(want))
		})
	}
}

// Whatever order updates arrive in, once all have arrived a host is used if and
// only if its newest incarnation is not leaving.
func TestUpdatesInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		leaves := map[int64]bool{}
		var updates []func(d *directory.Directory)
		for n := int64(1); n <= 3; n++ {
			updates = append(updates, func(d *directory.Directory) {
				d.ReplaceList([]hostlog.Host{host("e", n, hostlog.StateLive)}, start)
				d.UpdateStatus("e", status("e", n, "v", 0, 4), start)
			})
			if rapid.Bool().Draw(t, "leaves") {
				leaves[n] = true
				updates = append(updates, func(d *directory.Directory) {
					d.MarkLeaving(directory.LeaveNotice{Host: "e", Incarnation: n}, start)
				})
			}
		}
		d := directory.New(opts)
		for _, f := range rapid.Permutation(updates).Draw(t, "order") {
			f(d)
		}
		d.Refresh(start)
		if used := len(d.View().Holdings) == 1; used == leaves[3] {
			t.Fatalf("got used %t, want %t", used, !leaves[3])
		}
	})
}

// New requests switch to the version named by the rules, here v2, once it carries
// at least half the flow of the other version. Each case lists the layers held by
// the engines with v1 and by those with v2.
func TestVersionForNewRequests(t *testing.T) {
	t.Parallel()
	model := rule.Model{Name: "m", Version: "v2", Layers: 4}
	for _, c := range []struct{ v1, v2, want string }{
		{"0-4 0-4", "", "v1"},
		{"0-4 0-4", "0-2", "v1"},
		{"0-4 0-4", "0-2 2-4", "v2"},
		{"0-4 0-4 0-4 0-4 0-4 0-4 0-4 0-4", "0-4", "v1"},
		{"0-2", "0-4", "v2"},
		{"", "", "v2"},
	} {
		t.Run(c.v1+" and "+c.v2, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := directory.New(opts)
			var hosts []hostlog.Host
			for version, ranges := range map[string]string{"v1": c.v1, "v2": c.v2} {
				for n := range strings.Fields(ranges) {
					hosts = append(hosts, host(fmt.Sprint(version, n), 1, hostlog.StateLive))
				}
			}
			d.ReplaceList(hosts, start)
			for version, ranges := range map[string]string{"v1": c.v1, "v2": c.v2} {
				for n, text := range strings.Fields(ranges) {
					var from, to int
					_, err := fmt.Sscanf(text, "%d-%d", &from, &to)
					is.NoErr(err)
					d.UpdateStatus(fmt.Sprint(version, n), status(fmt.Sprint(version, n), 1, version, from, to), start)
				}
			}
			d.Refresh(start)
			is.Equal(d.View().Version(model), c.want)
		})
	}
}

// An engine that is removed from the list while it still reports must be
// dropped once its status expires, even if the list does not change again.
func TestUnlistedHostIsDroppedAfterSilence(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := directory.New(opts)
	d.ReplaceList([]hostlog.Host{host("e", 1, hostlog.StateLive)}, start)
	d.UpdateStatus("e", status("e", 1, "v", 0, 4), start)
	d.ReplaceList(nil, start.Add(time.Second))
	is.Equal(len(d.View().Hosts), 1)
	d.MarkListUnchanged(start.Add(2 * time.Second))
	is.Equal(len(d.View().Hosts), 1)
	d.MarkListUnchanged(start.Add(10 * time.Second))
	is.Equal(len(d.View().Hosts), 0)
}
