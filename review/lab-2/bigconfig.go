package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	bigConfigVMs    = 18
	bigConfigShards = 28
	configApply     = 5 * time.Second
)

// bigConfig plays a configuration that grows by many routes, in a tier of more than 16 VMs.
func bigConfig(l *lab, trouble bool) (int, error) {
	zones := []string{"perth-north", "perth-east", "perth-south"}
	var gather []string
	var services []configSvc
	addService := func(name string) error {
		services = append(services, configSvc{Name: name, HealthPath: "/health", MaxConnections: 500, Protocol: "h1", WarmupS: 3})
		for n, zone := range zones[:2] {
			s, err := l.addServer(name, zone, n+1, 6, 2*time.Millisecond)
			if err != nil {
				return err
			}
			s.register("ready")
		}
		return nil
	}
	for n := range bigConfigShards {
		gather = append(gather, fmt.Sprintf("gate-api-%02d", n+1))
		if err := addService(gather[n]); err != nil {
			return 0, err
		}
	}
	for _, name := range []string{"care-desk", "card-admin"} {
		if err := addService(name); err != nil {
			return 0, err
		}
	}
	base := []configRoute{
		{Name: "r-catalogue", Host: "pupu76.example", Prefix: "/ziti980/ti38/", Type: "idempotent", TimeoutMs: 1200, TargetMs: 200, Priority: 1, Gather: gather, MaxAttempts: 2, TopK: 10, MinSuccess: 0.89},
		{Name: "r-bon", Host: "pupu76.example", Prefix: "/timi402/", Type: "idempotent", TimeoutMs: 5000, TargetMs: 800, Priority: 2, Service: "care-desk", MaxAttempts: 2},
	}
	l.putConfig(config{Version: 7, Routes: base, Services: services, Limits: limits()})
	for n := range bigConfigVMs {
		if _, err := l.addVM(zones[n%3]); err != nil {
			return 0, err
		}
	}
	if err := l.startAll(30 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second) // all VMs know each other

	added := 30
	if trouble {
		added = 1400
	}
	routes := append([]configRoute{}, base...)
	for n := range added {
		routes = append(routes, configRoute{
			Name: fmt.Sprintf("r-added-%d", n), Host: "pupu76.example", Prefix: fmt.Sprintf("/added%d/", n), Type: "idempotent", TimeoutMs: 1200, TargetMs: 200,
			Priority: 1, Gather: gather, MaxAttempts: 2, TopK: 10, MinSuccess: 0.89,
		})
	}
	routes[1].Service = "card-admin"
	ack, size := l.putConfig(config{Version: 12, Routes: routes, Services: services, Limits: limits()})
	l.say("configuration 12 acknowledged: %d bytes of at most 1048576, %d routes", size, len(routes))
	time.Sleep(time.Until(ack.Add(2 * configApply)))

	stale, failed, sent := 0, 0, 0
	for round := range 3 {
		for i, v := range l.vms {
			for j, p := range []string{"/added7/2f", "/timi402/2f", "/ziti980/ti38/2f"} {
				id := fmt.Sprintf("%08x%02x%02x%02x", round, i, j, 1)
				a := call("GET", v.front, "pupu76.example", p, id, 1200*time.Millisecond, nil, 0)
				sent++
				stamp := a.header.Get("X-Pistachioshore-Response-Stamp")
				l.logf("client: %s %s at %s, %.1f s after the ack: status %d, error %v, stamp %s, missing %s, %v", id, p, v.name, time.Since(ack).Seconds(),
					a.status, a.err, stamp, a.header.Get("X-Pistachioshore-Missing-Parts"), a.took)
				switch {
				case a.status == 404 || (j == 1 && a.status == 200 && strings.HasPrefix(stamp, "i-care-desk")):
					stale++
				case a.status != 200:
					failed++
				}
			}
		}
		time.Sleep(2 * time.Second)
	}
	l.say("%d requests sent more than %v after the ack: %d handled as only the older version allows, %d failed otherwise", sent, 2*configApply, stale, failed)
	if stale > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
