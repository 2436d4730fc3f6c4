package load

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bulrushshed/caller"
	"bulrushshed/jsonhttp"
)

// book holds the addresses that callers may use, and the keys that each host
// issued.
type book struct {
	http    *jsonhttp.Client
	seeds   []string
	timeout time.Duration
	// pinned books know the seeds only.
	pinned bool

	// asking is held by the caller that asks for addresses; it is taken before
	// mu.
	asking  sync.Mutex
	mu      sync.Mutex
	entries []caller.Entry
	until   time.Time
	// keys are unused keys by the address of the host that issued them.
	keys map[string][]string
}

// entriesAnswer is the answer to GET /v1/entries.
type entriesAnswer struct {
	Entries []caller.Entry `json:"entries"`
	ValidMS int64          `json:"valid_ms"`
	Keys    []string       `json:"keys"`
}

// keysPerFetch is the number of keys that are fetched at a time.
const keysPerFetch = 20

func newBook(seeds []string, timeout time.Duration, pinned bool) *book {
	return &book{http: jsonhttp.NewClient(jsonhttp.DefaultOptions()), seeds: seeds, timeout: timeout, pinned: pinned, keys: map[string][]string{}}
}

func (b *book) fetch(address string, keys int) (entriesAnswer, error) {
	var out entriesAnswer
	r := jsonhttp.Request{
		Method: http.MethodGet, URL: "http://" + address + "/v1/entries?keys=" + strconv.Itoa(keys), Timeout: b.timeout,
	}
	err := b.http.Call(r, nil, &out)
	return out, err
}

// address returns an address that may be used now and is not in avoid.
func (b *book) address(avoid map[string]bool) string {
	b.refresh()
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []string
	for _, e := range b.entries {
		if !avoid[e.Address] {
			all = append(all, e.Address)
		}
	}
	if len(all) == 0 {
		all = b.seeds
	}
	return all[rand.IntN(len(all))]
}

// refresh asks for the addresses anew once the last answer is too old. Nobody
// uses an answer beyond its time: callers that come meanwhile wait, and the time
// counts from when the answer was asked for.
func (b *book) refresh() {
	b.asking.Lock()
	defer b.asking.Unlock()
	b.mu.Lock()
	fresh := b.pinned || time.Now().Before(b.until)
	known := b.seeds
	for _, e := range b.entries {
		known = append(known[:len(known):len(known)], e.Address)
	}
	b.mu.Unlock()
	if fresh {
		return
	}
	for _, i := range rand.Perm(len(known)) {
		asked := time.Now()
		answer, err := b.fetch(known[i], 0)
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		b.mu.Lock()
		b.entries = answer.Entries
		b.until = asked.Add(time.Duration(answer.ValidMS) * time.Millisecond)
		b.mu.Unlock()
		return
	}
}

// key returns an unused key and the address of its home.
func (b *book) key() (key, home string, err error) {
	avoid := map[string]bool{}
	for range defaultSends {
		home = b.address(avoid)
		if key, ok := b.takeKey(home); ok {
			return key, home, nil
		}
		answer, ferr := b.fetch(home, keysPerFetch)
		if ferr != nil || len(answer.Keys) == 0 {
			err = ferr
			avoid[home] = true
			continue
		}
		b.mu.Lock()
		b.keys[home] = append(b.keys[home], answer.Keys[1:]...)
		b.mu.Unlock()
		return answer.Keys[0], home, nil
	}
	return "", "", err
}

func (b *book) takeKey(home string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := b.keys[home]
	if len(keys) == 0 {
		return "", false
	}
	b.keys[home] = keys[1:]
	return keys[0], true
}

// forget drops the keys of a home that failed.
func (b *book) forget(home string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.keys, home)
}
