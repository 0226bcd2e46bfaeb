package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	staleReads   = 3 * time.Second // age of the reads that may be old
	contactTime  = 4 * time.Second // contactMs of armor-recherche
	lookupsUntil = 9 * time.Second
)

// lostAnswer plays a configuration whose watch answer to one VM is lost.
func lostAnswer(l *lab, trouble bool) (int, error) {
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
	for _, zone := range zones {
		if _, err := l.addVM(zone); err != nil {
			return 0, err
		}
	}
	l.store.staleAge = staleReads
	routes := func(service string) []configRoute {
		return []configRoute{{Name: "r-bon", Host: "pupu76.example", Prefix: "/timi402/", Type: "idempotent", TimeoutMs: 5000, TargetMs: 800, Priority: 1, Service: service, MaxAttempts: 2}}
	}
	l.putConfig(config{Version: 7, Services: services, Limits: limits(), Routes: routes("care-desk")})
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
	ack, _ := l.putConfig(config{Version: 12, Services: services, Limits: limits(), Routes: routes("card-admin")})
	var work sync.WaitGroup
	var mu sync.Mutex
	sent, old, other := 0, 0, 0
	var last time.Duration
	time.Sleep(time.Until(ack.Add(contactTime + 50*time.Millisecond)))
	for i := 0; time.Since(ack) < lookupsUntil; i++ {
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
		time.Sleep(20 * time.Millisecond)
	}
	work.Wait()
	l.say("%d requests sent more than %v after the ack: %d run by the service that only the older version names, the last sent %v after the ack; %d failed", sent, contactTime, old, last, other)
	if old > 0 {
		return exitBroken, nil
	}
	return exitHeld, l.allAlive()
}
