package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["failedpart"] = failedPart
}

// failedPart has one of forty servers fail a part of its requests with status 422, while its health check is good. It
// looks for successes that name such a failure as a part.
func failedPart(l *Lab) bool {
	store := NewStore(l.Record)
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var shards []string
	var servers []*Server
	for i := range 20 {
		service := fmt.Sprintf("chiffrage-%02d", i+1)
		shards = append(shards, service)
		for _, zone := range []string{"brest-nord", "angers-est"} {
			s := NewServer(l.Record, fmt.Sprintf("i-%02d-%.1s", i+1, zone), service, zone, 3, 18)
			s.Work = func(*http.Request) time.Duration { return 28 * time.Millisecond }
			servers = append(servers, s)
			store.Put("servers/"+s.ID, s.Entry("ready", 1))
		}
	}
	failures := map[string]bool{} // by stamp
	if l.Trouble {
		servers[2].Fail = func(stamp string) int {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() >= 0.4 {
				return 0
			}
			failures[stamp] = true
			return http.StatusUnprocessableEntity
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
	client := NewClient(l.Record, "fade")
	var replies []Reply
	var work sync.WaitGroup
	for end := time.Now().Add(6500 * time.Millisecond); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		work.Go(func() {
			r := client.Send(vms[0], "GET", "/catalogue/2f", 1200*time.Millisecond, "")
			mu.Lock()
			replies = append(replies, r)
			mu.Unlock()
		})
	}
	work.Wait()
	ok, broken, merged := 0, 0, 0
	for _, r := range replies {
		if r.Status != 200 {
			continue
		}
		ok++
		if bytes.Contains(r.Body, []byte("the query cannot")) {
			merged++
		}
		for _, stamp := range splitStamps(r.Header.Values("X-Pistachioshore-Part-Stamps")) {
			if failures[stamp] {
				broken++
				l.Say("MIXED: the success of request %s, %s parts missing, names the failure %s as a part", r.ID, r.Header.Get("X-Pistachioshore-Missing-Parts"), stamp)
			}
		}
	}
	l.Say("%d successes hold the text of a failure among their records", merged)
	l.Say("%d requests, %d successes, %d failures of the server, %d successes that name one as a part", len(replies), ok, len(failures), broken)
	return broken > 0 || l.Held(ok >= 100 && (len(failures) > 0) == l.Trouble, "100 successes, and failures just with the disruption")
}
