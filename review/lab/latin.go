package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["latin"] = latinHeader
}

// latinHeader has one client send a header with a byte that is no UTF-8, twice a second. It counts the requests of the
// other clients that fail.
func latinHeader(l *Lab) bool {
	store := NewStore(l.Record)
	var shards []string
	for i := range 20 {
		service := fmt.Sprintf("chiffrage-%02d", i+1)
		shards = append(shards, service)
		for _, zone := range []string{"brest-nord", "angers-est"} {
			s := NewServer(l.Record, fmt.Sprintf("i-%02d-%.1s", i+1, zone), service, zone, 3, 18)
			s.Work = func(*http.Request) time.Duration { return 28 * time.Millisecond }
			store.Put("servers/"+s.ID, s.Entry("ready", 1))
		}
	}
	route := routeOf("catalogue", "/catalogue/", "idempotent", "", shards, 1200, 200, 10, 0.89)
	store.Put("op/config", configOf(7, []map[string]any{route}, shards, 30))
	vms := NewVMs(l.Dir, store.Address, []string{"brest-nord", "angers-est", "cherbourg-sud"})
	for _, vm := range vms {
		vm.Start()
	}
	for _, vm := range vms {
		vm.WaitReady(10 * time.Second)
	}
	time.Sleep(6 * time.Second) // no traffic, the VMs find one another
	client, other := NewClient(l.Record, "1a"), NewClient(l.Record, "2b")
	if l.Trouble {
		other.header = http.Header{"X-Name": {"caf\xe9"}}
	}
	var mu sync.Mutex
	failed, sent, otherFailed := 0, 0, 0
	var work sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(25 * time.Millisecond)
		work.Go(func() {
			r := client.Send(vms[2], "GET", "/catalogue/2f", 1200*time.Millisecond, "")
			mu.Lock()
			defer mu.Unlock()
			sent++
			if r.Status != 200 {
				failed++
			}
		})
		if i%20 == 0 {
			work.Go(func() {
				if r := other.Send(vms[2], "GET", "/catalogue/2f", 1200*time.Millisecond, ""); r.Status != 200 {
					mu.Lock()
					otherFailed++
					mu.Unlock()
				}
			})
		}
	}
	work.Wait()
	l.Say("%d of %d requests of other clients failed, %d with the header", failed, sent, otherFailed)
	return failed > 0
}
