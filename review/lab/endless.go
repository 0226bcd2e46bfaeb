package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["endless"] = endlessBodies
}

// endlessBodies has three of nine servers answer one order in twenty with bytes that do not end. An operator then moves a
// route in a configuration that has grown by 350 routes. The clients look for orders that the old service still runs.
func endlessBodies(l *Lab) bool {
	store := NewStore(l.Record)
	services := []string{"suivi-chantier", "relances-clients"}
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	inTrouble, endless := false, 0
	zones := []string{"brest-nord", "angers-est", "cherbourg-sud"}
	servers := map[string][]*Server{}
	for n, service := range services {
		for i := range 9 - 5*n {
			s := NewServer(l.Record, fmt.Sprintf("i-%.1s%d", service, i), service, zones[i%3], 6, 24)
			s.Work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
			if n == 0 && i%3 == 0 {
				s.Endless = func() bool {
					mu.Lock()
					defer mu.Unlock()
					never := inTrouble && random.Float64() < 0.05
					if never {
						endless++
					}
					return never
				}
			}
			servers[service] = append(servers[service], s)
			store.Put("servers/"+s.ID, s.Entry("ready", 1))
		}
	}
	config := func(version int, service string, more int) map[string]any {
		routes := []map[string]any{routeOf("bon-travail", "/bon/", "non_idempotent", service, nil, 5000, 800, 0, 0)}
		for i := range more {
			routes = append(routes, routeOf(fmt.Sprintf("r-idle-%03d", i), fmt.Sprintf("/idle-%03d/", i), "idempotent", service, nil, 5000, 800, 0, 0))
		}
		return configOf(version, routes, services, 96)
	}
	store.Put("op/config", config(7, services[0], 0))
	vm := NewVMs(l.Dir, store.Address, zones[:1])[0]
	vm.Start()
	vm.WaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	client := NewClient(l.Record, "d")
	sentAt := map[string]time.Time{}
	var work sync.WaitGroup
	traffic := make(chan struct{})
	work.Go(func() {
		defer close(traffic)
		var sends sync.WaitGroup
		for end := time.Now().Add(16 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			sends.Go(func() {
				r := client.Send(vm, "POST", "/bon/2f", 5*time.Second, "order")
				mu.Lock()
				sentAt[r.ID] = r.SentAt
				mu.Unlock()
			})
		}
		sends.Wait()
	})
	time.Sleep(2 * time.Second)
	setTrouble := func(on bool) {
		mu.Lock()
		inTrouble = on
		mu.Unlock()
		l.Line("bodies without end at three of nine servers: %v", on)
	}
	setTrouble(l.Trouble)
	time.AfterFunc(5*time.Second, func() { setTrouble(false) })
	time.Sleep(1500 * time.Millisecond)
	ack := store.Put("op/config", config(8, services[1], 350))
	l.Line("configuration 8 is acknowledged, it moves the route from %s to %s and adds 350 routes", services[0], services[1])
	work.Wait()
	stale, after, last := 0, 0, time.Duration(0)
	for service, list := range servers {
		for _, s := range list {
			for _, a := range s.Arrivals() {
				since := sentAt[a.Request].Sub(ack)
				if !a.Ran || since <= configBound {
					continue
				}
				after++
				if service == services[0] {
					stale++
					last = max(last, since)
					l.Line("CONFIG: order %s, sent %.3f s after the ack, is run by %s of the old service", a.Request, since.Seconds(), s.ID)
				}
			}
		}
	}
	l.Say("%d of %d orders answered without end", endless, len(sentAt))
	l.Say("of %d orders sent later than %v after the ack, the old service ran %d, the last one sent after %.1f s", after, configBound, stale, last.Seconds())
	return stale > 0 || l.Held(after >= 100 && (endless > 0) == l.Trouble, "100 orders after the bound, and endless bodies just with the disruption")
}
