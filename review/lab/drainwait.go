package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["drainwait"] = drainIgnored
}

const drainBound = 3000 * time.Millisecond // drainMs of the settings

// drainIgnored has many clients at one of six VMs. One of two servers turns slow and then reports that it drains. It looks
// for requests that reach the server later than drainMs after the store has acknowledged its report.
func drainIgnored(l *Lab) bool {
	store := NewStore(l.Record)
	const service = "suivi-chantier"
	var servers []*Server
	for i, zone := range []string{"brest-nord", "angers-est"} {
		s := NewServer(l.Record, fmt.Sprintf("i-suivi-%d", i+1), service, zone, 3, 18)
		s.Work = func(*http.Request) time.Duration { return 220 * time.Millisecond }
		servers = append(servers, s)
		store.Put("servers/"+s.ID, s.Entry("ready", 1))
	}
	var slow atomic.Bool
	servers[0].Work = func(*http.Request) time.Duration {
		if slow.Load() {
			return 5 * 220 * time.Millisecond
		}
		return 220 * time.Millisecond
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
	end := time.Now().Add(8 * time.Second)
	for range 40 { // clients, each with one request at a time
		work.Go(func() {
			for time.Now().Before(end) {
				if r := client.Send(vms[0], "GET", "/bon/2f", 5*time.Second, ""); r.Status != 200 {
					time.Sleep(r.wait())
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	slow.Store(l.Trouble)
	l.Line("%s is slow: %v", servers[0].ID, l.Trouble)
	time.Sleep(500 * time.Millisecond)
	ack := time.Now()
	if l.Trouble {
		ack = store.Put("servers/"+servers[0].ID, servers[0].Entry("draining", 2))
		servers[0].SetLeaving()
		l.Line("the store acknowledges that %s drains", servers[0].ID)
	}
	work.Wait()
	late, last := 0, time.Duration(0)
	for _, a := range servers[0].Arrivals() {
		if since := a.At.Sub(ack); l.Trouble && since > drainBound {
			late++
			last = max(last, since)
			l.Line("DRAIN: request %s reaches %s %.3f s after the ack", a.Request, servers[0].ID, since.Seconds())
		}
	}
	l.Say("%d requests reached %s later than %v after the ack that it drains, the last one after %.1f s", late, servers[0].ID, drainBound, last.Seconds())
	return late > 0
}
