package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed config.json
var configText []byte

//go:embed idle_route.json
var idleRouteText string

// config is the configuration that the operator writes.
type config map[string]any

func newConfig() config {
	var c config
	if err := json.Unmarshal(configText, &c); err != nil {
		panic(err)
	}
	return c
}

// addIdleRoutes adds routes that no client uses.
func (c config) addIdleRoutes(n int) {
	routes, _ := c["routes"].([]any)
	for i := range n {
		var route any
		if err := json.Unmarshal(fmt.Appendf(nil, idleRouteText, i, i), &route); err != nil {
			panic(err)
		}
		routes = append(routes, route)
	}
	c["routes"] = routes
}

// removeKey takes a key away from its tenant.
func (c config) removeKey(key string) {
	tenants, _ := c["tenants"].([]any)
	for _, t := range tenants {
		tenant, _ := t.(map[string]any)
		for field, value := range tenant {
			keys, ok := value.([]any)
			if !ok {
				continue
			}
			kept := []any{}
			for _, k := range keys {
				if k != key {
					kept = append(kept, k)
				}
			}
			tenant[field] = kept
		}
	}
}

// encode returns the configuration with a version.
func (c config) encode(version int) []byte {
	c["version"] = version
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}
