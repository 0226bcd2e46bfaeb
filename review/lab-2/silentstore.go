package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	silentVMs     = 18
	silentTime    = 9 * time.Second
	aggregatorsOf = 2 // of each zone, in a tier of this size
)

// silentStore plays a store that leaves a third of the machines without an answer, while the configuration changes.
func silentStore(l *lab, trouble bool) (int, error) {
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
	// The aggregators of a zone are those with the lowest addresses, as all VMs have as many cores.
	ofZone := map[string]int{}
	var turnedAway, others []*vm
	for n := range silentVMs {
		v, err := l.addVM(zones[n%3])
		if err != nil {
			return 0, err
		}
		if ofZone[v.zone]++; ofZone[v.zone] <= aggregatorsOf {
			turnedAway = append(turnedAway, v)
		} else {
			others = append(others, v)
		}
	}
	routes := func(service string) []configRoute {
		return []configRoute{{Name: "r-bon", Host: "pupu76.example", Prefix: "/timi402/", Type: "idempotent", TimeoutMs: 5000, TargetMs: 800, Priority: 1, Service: service, MaxAttempts: 2}}
	}
	l.putConfig(config{Version: 7, Services: services, Limits: limits(), Routes: routes("care-desk")})
	if err := l.startAll(30 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second) // the VMs know each other

	silentSince := time.Now()
	if trouble {
		for _, v := range turnedAway {
			v.silent.Store(true)
			l.logf("store: leaves %s in %s without an answer", v.name, v.zone)
		}
	}
	time.Sleep(500 * time.Millisecond)
	ack, _ := l.putConfig(config{Version: 12, Services: services, Limits: limits(), Routes: routes("card-admin")})
	time.Sleep(time.Until(ack.Add(configApply + 100*time.Millisecond)))
	var work sync.WaitGroup
	var mu sync.Mutex
	sent, old, failed := 0, 0, 0
	vms := map[string]bool{}
	for i := 0; time.Since(silentSince) < silentTime; i++ {
		for j, v := range others {
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
					vms[v.name] = true
				case a.status != 200:
					failed++
				}
			})
		}
		time.Sleep(250 * time.Millisecond)
	}
	work.Wait()
	l.say("%d requests sent more than %v after the ack to the %d VMs that the store answers: %d run by the service that only the older version names, at %d VMs; %d failed", sent, configApply, len(others), old, len(vms), failed)
	if old > 0 {
		return exitBroken, nil
	}
	return exitHeld, l.allAlive()
}
