package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	stormWatch   = 24 * time.Second
	stormRoutes  = 1400
	stormShards  = 28
)

// storm plays configurations that come in quick succession, of which the first one's watch answer to one VM is lost.
func storm(l *lab, trouble bool) (int, error) {
	zones := []string{"perth-north", "perth-east", "perth-south"}
	var services []configSvc
	for _, name := range []string{"care-desk", "card-admin"} {
		services = append(services, configSvc{Name: name, HealthPath: "/health", MaxConnections: 500, Protocol: "h1", WarmupS: 3})
		for n, zone := range zones {
			s, err := l.addServer(name, zone, n, 6, 5*time.Millisecond)
			if err != nil {
				return 0, err
			}
			s.register("ready")
		}
	}
	var gather []string
	for n := range stormShards {
		gather = append(gather, fmt.Sprintf("gate-api-%02d", n+1))
		services = append(services, configSvc{Name: gather[n], HealthPath: "/health", MaxConnections: 59, Protocol: "h1", WarmupS: 3})
	}
	var added []configRoute
	for n := range stormRoutes {
		added = append(added, configRoute{
			Name: fmt.Sprintf("r-added-%d", n), Host: "pupu76.example", Prefix: fmt.Sprintf("/added%d/", n), Type: "idempotent", TimeoutMs: 1200, TargetMs: 200,
			Priority: 1, Gather: gather, MaxAttempts: 2, TopK: 10, MinSuccess: 0.89,
		})
	}
	version := func(v uint64, service string, timeout int) config {
		bon := configRoute{Name: "r-bon", Host: "pupu76.example", Prefix: "/timi402/", Type: "idempotent", TimeoutMs: timeout, TargetMs: 800, Priority: 1, Service: service, MaxAttempts: 2}
		return config{Version: v, Services: services, Limits: limits(), Routes: append([]configRoute{bon}, added...)}
	}
	for range 6 {
		if _, err := l.addVM(zones[len(l.vms)%3]); err != nil {
			return 0, err
		}
	}
	l.store.staleAge = time.Second
	_, size := l.putConfig(version(7, "care-desk", 5000))
	if err := l.startAll(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second)

	lost := false
	if trouble {
		l.store.loses = func(prefix, caller string) bool {
			if prefix != "op/" || lost {
				return false
			}
			lost = true
			l.logf("store: the answer to the watch of op/ from %s is lost", caller)
			return true
		}
	}
	var ack time.Time
	for i := range stormChanges {
		service := "care-desk"
		if i == stormChanges-1 {
			service = "card-admin"
		}
		ack, _ = l.putConfig(version(uint64(12+3*i), service, 4000+i))
		time.Sleep(time.Until(ack.Add(stormGap)))
	}
	var work sync.WaitGroup
	var mu sync.Mutex
	sent, old, other := 0, 0, 0
	var last time.Duration
	time.Sleep(time.Until(ack.Add(contactTime + 50*time.Millisecond)))
	for i := 0; time.Since(ack) < stormWatch; i++ {
		for j, v := range l.vms {
			work.Go(func() {
				id, at := fmt.Sprintf("%08x%08x", i, j), time.Since(ack)
				a := call("GET", v.front, "pupu76.example", "/timi402/2f", id, 5*time.Second, nil, 0)
				stamp := a.header.Get("X-Pistachioshore-Response-Stamp")
				l.logf("client: %s sent %v after the ack at %s: status %d, stamp %s, error %v", id, at, v.name, a.status, stamp, a.err)
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch {
				case strings.HasPrefix(stamp, "i-care-desk"):
					old++
					last = max(last, at)
				case a.status != 200:
					other++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	work.Wait()
	l.say("%d versions of %d bytes; %d requests sent more than %v after the last ack: %d run by the service that only older versions name, the last sent %v after the ack; %d failed", stormChanges, size, sent, contactTime, old, last, other)
	if old > 0 {
		return exitBroken, nil
	}
	return exitHeld, l.allAlive()
}
