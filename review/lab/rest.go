package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["rest"] = restIgnored
}

const (
	restTime  = 3 * time.Second        // Retry-After of the server in trouble
	restGrace = 500 * time.Millisecond // time in which requests that are on their way are excused
	maxInRest = 2                      // requests of one VM that may reach the server in the rest of that time
)

// restIgnored has many clients at one of six VMs. One of two servers then turns slow, and turns a part of its requests
// away with 503 and Retry-After. It looks for requests that reach it from this VM within that time.
func restIgnored(l *Lab) bool {
	store := NewStore(l.Record)
	const service = "suivi-chantier"
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var restedAt []time.Time // when the server has answered 503 with Retry-After
	inTrouble := false
	var servers []*Server
	for i, zone := range []string{"brest-nord", "angers-est"} {
		s := NewServer(l.Record, fmt.Sprintf("i-suivi-%d", i+1), service, zone, 3, 18)
		s.Work = func(*http.Request) time.Duration { return 220 * time.Millisecond }
		servers = append(servers, s)
		store.Put("servers/"+s.ID, s.Entry("ready", 1))
	}
	servers[0].Work = func(*http.Request) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if inTrouble {
			return 5 * 220 * time.Millisecond
		}
		return 220 * time.Millisecond
	}
	servers[0].Shed = func() (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !inTrouble || random.Float64() >= 0.45 {
			return false, 0
		}
		restedAt = append(restedAt, time.Now())
		return true, restTime
	}
	route := routeOf("bon-travail", "/bon/", "idempotent", service, nil, 5000, 800, 0, 0)
	store.Put("op/config", configOf(7, []map[string]any{route}, []string{service}, 30))
	vms := NewVMs(l.Dir, store.Address, []string{"brest-nord", "brest-nord", "brest-nord", "angers-est", "angers-est", "cherbourg-sud"})
	for _, vm := range vms {
		vm.Start()
	}
	for _, vm := range vms {
		vm.WaitReady(10 * time.Second)
	}
	time.Sleep(6 * time.Second) // no traffic, the VMs find one another
	client := NewClient(l.Record, "a")
	var work sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for range 40 { // clients, each with one request at a time
		work.Go(func() {
			for time.Now().Before(end) {
				if r := client.Send(vms[0], "GET", "/bon/2f", 5*time.Second, ""); r.Status != 200 {
					time.Sleep(r.wait())
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	inTrouble = l.Trouble
	mu.Unlock()
	l.Line("trouble of %s begins: %v", servers[0].ID, l.Trouble)
	time.Sleep(6500 * time.Millisecond)
	mu.Lock()
	inTrouble = false
	mu.Unlock()
	work.Wait()
	return judgeRest(l, servers[0], restedAt)
}

// judgeRest counts the requests that have reached the server between half a second after an answer with Retry-After and
// the end of that time. All come from one VM, as no other has clients.
func judgeRest(l *Lab, s *Server, restedAt []time.Time) bool {
	tooMany := 0
	for _, a := range s.Arrivals() {
		for _, at := range restedAt {
			if since := a.At.Sub(at); since > restGrace && since < restTime {
				tooMany++
				l.Line("BUDGET: request %s reaches %s %.3f s after it asked for a rest of %v", a.Request, s.ID, since.Seconds(), restTime)
				break
			}
		}
	}
	l.Say("%s turned %d requests away with Retry-After %v; %d requests reached it within such a time, later than its first %v, allowed: %d",
		s.ID, len(restedAt), restTime, tooMany, restGrace, maxInRest)
	return tooMany > maxInRest
}
