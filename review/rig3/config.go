package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// resource is an entry of a configuration.
type resource struct {
	Type     string         `json:"resourceType"`
	Metadata map[string]any `json:"metadata"`
	Spec     map[string]any `json:"spec"`
}

func newResource(kind, name string, spec map[string]any) resource {
	return resource{Type: kind, Metadata: map[string]any{"name": name}, Spec: spec}
}

// publish writes a configuration as the operator does, and returns when the store has
// confirmed it.
func (w *world) publish(version int, resources []resource) (time.Time, error) {
	raw, err := json.Marshal(map[string]any{"version": version, "resources": resources})
	if err != nil {
		return time.Time{}, err
	}
	ver, ok := w.store.put("op", "config", raw)
	if !ok {
		return time.Time{}, fmt.Errorf("the store is away, and version %d of the configuration was not taken", version)
	}
	w.note("config", "version=%d confirmed, row=%d", version, ver)
	return time.Now(), nil
}

// usualConfig returns a configuration with two routes, a service and tenants.
func usualConfig(tenants ...resource) []resource {
	route := func(name, kind string) resource {
		return newResource("routes", name, map[string]any{
			"host": siteHost, "prefix": "/" + name + "/", "kind": kind, "service": "loft-desk", "timeoutS": 4.0, "latencyTargetS": 0.6,
			"maxAttempts": 2, "priority": 1, "sticky": false, "public": false,
		})
	}
	return append([]resource{
		route("lookup", "idempotent"), route("order", "non_idempotent"),
		newResource("services", "loft-desk", map[string]any{"healthPath": "/health", "maxConns": 390, "coldStartS": 3.0, "coldPerS": 19.0}),
		newResource("limits", "limits", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": 3.0, "idleTimeoutS": 15.0}),
	}, tenants...)
}

func newTenant(name string, rate, burst float64, keys ...string) resource {
	return newResource("tenants", name, map[string]any{"apiKeys": keys, "ratePerS": rate, "burst": burst})
}

// startServers starts servers of the service in all zones.
func (w *world) startServers(each, capacity int, work time.Duration) error {
	n := 0
	for _, zone := range []string{"kushiro", "nemuro", "wakkanai"} {
		for range each {
			n++
			if _, err := w.startServer("i-"+zone+"-"+string(rune('a'+n)), "loft-desk", zone, capacity, work); err != nil {
				return err
			}
		}
	}
	return nil
}
