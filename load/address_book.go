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

// addressBook caches the addresses that callers may use and the unused keys that
// each host issued.
type addressBook struct {
	http    *jsonhttp.Client
	seeds   []string
	timeout time.Duration
	// seedsOnly disables the discovery of other addresses.
	seedsOnly bool

	// refreshMu is held by the caller that fetches the addresses. It is locked
	// before mu.
	refreshMu  sync.Mutex
	mu         sync.Mutex
	entries    []caller.Entry
	validUntil time.Time
	// keys holds the unused keys by the address of the host that issued them.
	keys map[string][]string
}

// entriesResponse is the response to GET /v1/entries.
type entriesResponse struct {
	Entries []caller.Entry `json:"entries"`
	ValidMS int64          `json:"valid_ms"`
	Keys    []string       `json:"keys"`
}

// keysPerFetch is the number of keys requested at a time.
const keysPerFetch = 20

func newAddressBook(seeds []string, timeout time.Duration, seedsOnly bool) *addressBook {
	return &addressBook{http: jsonhttp.NewClient(jsonhttp.DefaultOptions()), seeds: seeds, timeout: timeout, seedsOnly: seedsOnly, keys: map[string][]string{}}
}

func (a *addressBook) fetch(address string, keys int) (entriesResponse, error) {
	var out entriesResponse
	r := jsonhttp.Request{
		Method: http.MethodGet, URL: "http://" + address + "/v1/entries?keys=" + strconv.Itoa(keys), Timeout: a.timeout,
	}
	err := a.http.Call(r, nil, &out)
	return out, err
}

// pick returns a random address of the list that is not in avoid, or a random seed
// if there is none.
func (a *addressBook) pick(avoid map[string]bool) string {
	a.refresh()
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []string
	for _, e := range a.entries {
		if !avoid[e.Address] {
			all = append(all, e.Address)
		}
	}
	if len(all) == 0 {
		all = a.seeds
	}
	return all[rand.IntN(len(all))]
}

// refresh fetches the addresses again once their validity has ended. Callers that
// arrive during the fetch wait for it, so that an expired list is used only if no
// known host responds. Validity counts from the time of the request.
func (a *addressBook) refresh() {
	a.refreshMu.Lock()
	defer a.refreshMu.Unlock()
	a.mu.Lock()
	fresh := a.seedsOnly || time.Now().Before(a.validUntil)
	known := a.seeds
	for _, e := range a.entries {
		known = append(known[:len(known):len(known)], e.Address)
	}
	a.mu.Unlock()
	if fresh {
		return
	}
	for _, i := range rand.Perm(len(known)) {
		requested := time.Now()
		resp, err := a.fetch(known[i], 0)
		if err != nil || len(resp.Entries) == 0 {
			continue
		}
		a.mu.Lock()
		a.entries = resp.Entries
		a.validUntil = requested.Add(time.Duration(resp.ValidMS) * time.Millisecond)
		a.mu.Unlock()
		return
	}
}

// acquireKey returns an unused key and its home, the address of the host that
// issued it. If no host issued a key, key is "", and err is the last failure, or
// nil if the host answered without a key.
func (a *addressBook) acquireKey() (key, home string, err error) {
	avoid := map[string]bool{}
	for range defaultMaxAttempts {
		home = a.pick(avoid)
		if key, ok := a.popKey(home); ok {
			return key, home, nil
		}
		resp, fetchErr := a.fetch(home, keysPerFetch)
		if fetchErr != nil || len(resp.Keys) == 0 {
			err = fetchErr
			avoid[home] = true
			continue
		}
		a.mu.Lock()
		a.keys[home] = append(a.keys[home], resp.Keys[1:]...)
		a.mu.Unlock()
		return resp.Keys[0], home, nil
	}
	return "", "", err
}

func (a *addressBook) popKey(home string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	keys := a.keys[home]
	if len(keys) == 0 {
		return "", false
	}
	a.keys[home] = keys[1:]
	return keys[0], true
}

// dropKeys discards the keys of a home that failed.
func (a *addressBook) dropKeys(home string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.keys, home)
}
