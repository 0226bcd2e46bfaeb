package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	warmupPerS  = 10
	warmupTime  = 10 * time.Second
	coldBound   = warmupPerS*1.5 + 5 // warmupOvershoot and warmupSlack of the settings
	crashRate   = 3 * warmupPerS     // "crashes at a rate well above that"
	lookupGap   = 6 * time.Millisecond
	evacuatedS  = 6 * time.Second
	afterReturn = 4 * time.Second
)

// failback plays a zone that is evacuated, whose servers become cold before the evacuation is taken back.
func failback(l *lab, trouble bool) (int, error) {
	const service, zone = "care-desk", "perth-north"
	zones := []string{zone, "perth-east"}
	services := []configSvc{{Name: service, HealthPath: "/health", MaxConnections: 500, Protocol: "h1", WarmupS: warmupTime.Seconds(), WarmupPerS: warmupPerS}}
	var evacuated []*server
	for _, z := range zones {
		for n := range 2 {
			s, err := l.addServer(service, z, n+1, 6, 60*time.Millisecond)
			if err != nil {
				return 0, err
			}
			s.crashes = crashRate
			s.register("ready")
			if z == zone {
				evacuated = append(evacuated, s)
			}
			if _, err := l.addVM(z); err != nil {
				return 0, err
			}
		}
	}
	l.putConfig(config{Version: 7, Services: services, Limits: limits(), Routes: []configRoute{
		{Name: "r-bon", Host: "pupu76.example", Prefix: "/timi402/", Type: "non_idempotent", TimeoutMs: 5000, TargetMs: 800, Priority: 1, Service: service, MaxAttempts: 2},
	}})
	if err := l.startAll(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // the VMs know each other

	var work sync.WaitGroup
	stop := make(chan struct{})
	statuses := map[int]int{}
	var mu sync.Mutex
	work.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(lookupGap):
			}
			work.Go(func() {
				v := l.vms[i%len(l.vms)]
				a := call("POST", v.front, "pupu76.example", "/timi402/2f", fmt.Sprintf("%016x", i), 5*time.Second, strings.NewReader("1"), 1)
				l.logf("client: %016x at %s: status %d, error %v", i, v.name, a.status, a.err)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
	})
	time.Sleep(2 * time.Second)
	ack := l.store.put("op/evacuate/"+zone, []byte("{}"))
	l.logf("operator: evacuation of %s acknowledged", zone)
	lead := 300 * time.Millisecond
	if !trouble {
		lead = 2 * time.Second
	}
	time.Sleep(time.Until(ack.Add(evacuatedS - lead)))
	coldSince := map[*server]time.Time{}
	for i, s := range evacuated {
		s.mu.Lock()
		s.warmLeft = warmupTime
		s.mu.Unlock()
		coldSince[s] = s.register("ready")
		l.logf("server %s: cold, its entry with warmupLeftMs %d is acknowledged", s.id, warmupTime.Milliseconds())
		if i == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(ack.Add(evacuatedS)))
	back := l.store.remove("op/evacuate/" + zone)
	l.logf("operator: the evacuation is taken back, acknowledged")
	time.Sleep(afterReturn)
	close(stop)
	work.Wait()

	broken := false
	for _, s := range evacuated {
		n, at := s.most(coldSince[s], coldSince[s].Add(warmupTime))
		l.say("server %s, cold %v before the evacuation was taken back: %d requests in the second from %v after that on, bound %g", s.id, back.Sub(coldSince[s]).Round(time.Millisecond), n, at.Sub(back).Round(time.Millisecond), coldBound)
		broken = broken || float64(n) > coldBound
	}
	l.say("orders by status: %v; 502 and 504 are lost", statuses)
	if broken {
		return exitBroken, nil
	}
	return exitHeld, l.allAlive()
}

// most returns the largest number of requests that the server began to run in one second between two times, and the start of
// that second.
func (s *server) most(from, to time.Time) (most int, start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, first := range s.runs {
		if first.at.Before(from) || first.at.After(to) {
			continue
		}
		n := 0
		for _, r := range s.runs[i:] {
			if r.at.Sub(first.at) < time.Second {
				n++
			}
		}
		if n > most {
			most, start = n, first.at
		}
	}
	return most, start
}
