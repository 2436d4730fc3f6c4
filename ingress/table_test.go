package ingress_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/ingress"
)

func TestMatch(t *testing.T) {
	t.Parallel()
	table := ingress.NewTable(ingress.Config{Rules: []ingress.Rule{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
		{Name: "root", Host: "c.example", Prefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/xx/", ""},
		{"a.example", "/q?/x/", ""},
		{"a.example", "/x/q?p=/x/y/", "short"},
		{"a.example", "/x//y/", "short"},
		{"b.example", "/x/y/z", "other"},
		{"c.example", "/any/thing", "root"},
		{"d.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("got rule %q for %s%s, want %q", got, c.host, c.path, c.want)
		}
	}
}

// The indexed lookup must agree with a linear search through all rules.
func TestMatchEqualsLinearSearch(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", ""})
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
		}
		var cfg ingress.Config
		for i := range rapid.IntRange(0, 8).Draw(t, "rules") {
			prefix := path("prefix")
			if !strings.HasSuffix(prefix, "/") {
				prefix += "/"
			}
			cfg.Rules = append(cfg.Rules, ingress.Rule{Name: fmt.Sprint(i), Host: "h", Prefix: prefix})
		}
		target := path("target")
		longest := -1
		for _, r := range cfg.Rules {
			if strings.HasPrefix(target, r.Prefix) {
				longest = max(longest, len(r.Prefix))
			}
		}
		got := -1
		if r := ingress.NewTable(cfg).Match("h", target); r != nil {
			got = len(r.Prefix)
		}
		if got != longest {
			t.Fatalf("got a prefix of %d for %s, want %d", got, target, longest)
		}
	})
}

func TestAuthorize(t *testing.T) {
	t.Parallel()
	table := ingress.NewTable(ingress.Config{KeysRequired: true, Customers: []ingress.Customer{{Name: "ana", Keys: []string{"k1", "k2"}}}})
	closed, open := &ingress.Rule{}, &ingress.Rule{AllowAnonymous: true}
	for _, c := range []struct {
		name     string
		rule     *ingress.Rule
		key      string
		fresh    bool
		customer string
		kind     ingress.ErrorKind
	}{
		{"a key", closed, "k2", true, "ana", ""},
		{"another key", closed, "k3", true, "", ingress.KindUnknownKey},
		{"no key", closed, "", true, "", ingress.KindUnknownKey},
		{"a key, not fresh", closed, "k1", false, "", ingress.KindStale},
		{"an unknown key, not fresh", closed, "k3", false, "", ingress.KindStale},
		{"anonymous", open, "", false, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got, err := table.Authorize(c.rule, c.key, c.fresh)
			var e *ingress.Error
			is.Equal(errors.As(err, &e), c.kind != "")
			if e != nil {
				is.Equal(e.Kind, c.kind)
			}
			name := ""
			if got != nil {
				name = got.Name
			}
			is.Equal(name, c.customer)
		})
	}
}

// Revoking the last key of the last customer must not open the rules to requests with
// revoked or unknown keys. Without a list of customers no keys are needed.
func TestRevokedKeysAreRejectedWhenNoneIsLeft(t *testing.T) {
	t.Parallel()
	closed, open := &ingress.Rule{}, &ingress.Rule{AllowAnonymous: true}
	for _, c := range []struct {
		name string
		cfg  ingress.Config
		want error
	}{
		{"customers without keys", ingress.Config{KeysRequired: true, Customers: []ingress.Customer{{Name: "ana"}}}, &ingress.Error{Op: "authorize", Kind: ingress.KindUnknownKey}},
		{"no customer left", ingress.Config{KeysRequired: true}, &ingress.Error{Op: "authorize", Kind: ingress.KindUnknownKey}},
		{"no list of customers", ingress.Config{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			table := ingress.NewTable(c.cfg)
			for _, key := range []string{"", "k1"} {
				_, err := table.Authorize(closed, key, true)
				is.Equal(err, c.want)
			}
			_, err := table.Authorize(open, "k1", true)
			is.NoErr(err)
		})
	}
}

// A confirmation is valid for 5 s from the time at which its read was sent, not
// from the time at which the response arrived.
func TestFreshness(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := 100 * time.Second
	f := ingress.NewFreshness(5*time.Second, func() time.Duration { return now })
	fresh := func() bool {
		ok, _ := f.Fresh()
		return ok
	}
	is.True(!fresh()) // no confirmation yet
	sent := now
	now += 2 * time.Second // the response takes 2 s
	f.Confirm(sent)
	is.True(fresh())
	now += 2900 * time.Millisecond
	is.True(fresh())
	now += 100 * time.Millisecond
	is.True(!fresh())
	f.Confirm(sent + time.Second)
	is.True(fresh())
	f.Confirm(sent) // a delayed, older response
	is.True(fresh())
	now += time.Second
	is.True(!fresh())
}

func TestPickServiceFollowsWeights(t *testing.T) {
	t.Parallel()
	r := ingress.Rule{Targets: []ingress.Target{{Service: "a", Weight: 3}, {Service: "b"}, {Service: "c", Weight: 1}}}
	got := map[string]int{}
	for range 4000 {
		got[r.PickService()]++
	}
	if got["b"] != 0 || got["a"] < 2*got["c"] || got["c"] == 0 {
		t.Fatalf("got %v, want about three times as many of a as of c, and none of b", got)
	}
	if none := (&ingress.Rule{Targets: []ingress.Target{{Service: "a"}}}).PickService(); none != "" {
		t.Fatalf("got %q, want no service", none)
	}
}
