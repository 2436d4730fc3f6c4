package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["revoked"] = playRevoked }

const (
	// tenantCount is the number of tenants, with one key each.
	tenantCount = 10
	// revokedAtOnce is the number of keys that one series of versions takes away.
	revokedAtOnce = 3
	revokeGap     = 500 * time.Millisecond
	// revokeBound is bounds.revoke_ms.
	revokeBound = 5 * time.Second
	// neverHeld is a key that no configuration ever holds.
	neverHeld = "neverheldneverheld00"
)

// playRevoked takes away the keys of all tenants, one after the other, while clients go on
// sending. Afterwards none of their requests may run.
func playRevoked(d *deployment, trouble bool) (broken string, err error) {
	if d.plain, err = d.addReplicas("rota-app", "", 1); err != nil {
		return "", err
	}
	keys := make([]string, tenantCount)
	tenants := make([]any, tenantCount)
	for i := range tenants {
		keys[i] = fmt.Sprintf("key%02dabcdefghijklmnop", i)
		tenants[i] = map[string]any{"name": fmt.Sprintf("tenant%02d", i), "priority": 1, names["keys"]: []any{keys[i]}}
	}
	d.publish("first configuration, with a key for each tenant", func(c map[string]any) { c["tenants"] = tenants })
	if err := d.startHosts(); err != nil {
		return "", err
	}

	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, key := range append(keys, neverHeld) {
		clients.Go(func() {
			c := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				method, path, body := "GET", "/stock/2f", ""
				if n%2 == 1 {
					method, path, body = "POST", "/confirm/2f", "slot 7"
				}
				if front := d.pick(zones[i%len(zones)]); front != "" {
					s := d.send(c, front, method, path, key, body, 1500*time.Millisecond, nil)
					mu.Lock()
					all = append(all, s)
					mu.Unlock()
				}
			}
		})
	}

	time.Sleep(5 * time.Second)
	takenAt := map[string]time.Time{}
	for i, key := range keys {
		if trouble {
			takenAt[key] = d.publish("the key of tenant "+fmt.Sprint(i)+" is taken away", func(map[string]any) {
				tenants[i].(map[string]any)[names["keys"]] = []any{}
			})
		}
		if i%revokedAtOnce == revokedAtOnce-1 {
			time.Sleep(3 * time.Second)
		}
		time.Sleep(revokeGap)
	}
	time.Sleep(revokeBound + 8*time.Second)
	close(stop)
	clients.Wait()

	return checkRevoked(d, all, takenAt), nil
}

// checkRevoked returns how the rules on keys were broken, or "".
func checkRevoked(d *deployment, all []sent, takenAt map[string]time.Time) string {
	byID := map[string]sent{}
	for _, s := range all {
		byID[s.id] = s
	}
	revoked, never := 0, 0
	for _, x := range allRuns(d.plain) {
		s, ok := byID[x.id]
		at, taken := takenAt[s.key]
		switch {
		case !ok:
		case s.key == neverHeld:
			never++
			d.rec.note("ROUTE: %s ran, whose key no configuration ever held", x.id)
		case taken && s.at.Sub(at) > revokeBound:
			revoked++
			d.rec.note("CONFIG: %s ran, sent %v after its key was taken away, for tenant %q", x.id, s.at.Sub(at).Round(time.Millisecond), x.tenant)
		}
	}
	answered := map[int]int{}
	for _, s := range all {
		answered[s.status]++
	}
	d.rec.note("%d requests, answers by status: %v", len(all), answered)
	if revoked+never == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests ran more than %v after their key was taken away, and %d with a key that no configuration ever held", revoked, revokeBound, never)
}
