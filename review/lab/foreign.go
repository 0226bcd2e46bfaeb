package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["foreign"] = foreignAnswer
}

// foreignAnswer kills one VM shortly after clients begin to use it, and looks for answers that name parts of another
// request. One shard is dark meanwhile, so that the parts which the VM had forwarded are still open at another VM.
func foreignAnswer(l *Lab) bool {
	store := NewStore(l.Record)
	var shards []string
	var servers []*Server
	for i := range 20 {
		service := fmt.Sprintf("chiffrage-%02d", i+1)
		shards = append(shards, service)
		for _, zone := range []string{"brest-nord", "angers-est"} {
			s := NewServer(l.Record, fmt.Sprintf("i-%02d-%.1s", i+1, zone), service, zone, 3, 18)
			s.Work = func(*http.Request) time.Duration { return 28 * time.Millisecond }
			servers = append(servers, s)
		}
	}
	route := routeOf("catalogue", "/catalogue/", "idempotent", "", shards, 3000, 800, 10, 0.89)
	store.Put("op/config", configOf(7, []map[string]any{route}, shards, 30))
	for _, s := range servers {
		store.Put("servers/"+s.ID, s.Entry("ready", 1))
	}
	vms := NewVMs(l.Dir, store.Address, []string{"brest-nord", "angers-est", "cherbourg-sud"})
	for _, vm := range vms {
		vm.Start()
	}
	for _, vm := range vms {
		vm.WaitReady(10 * time.Second)
	}
	time.Sleep(6 * time.Second) // no traffic, the VMs find one another
	victim := vms[2]
	if l.Trouble {
		l.Line("both servers of %s fall silent", shards[1])
		servers[2].SetDark(true)
		servers[3].SetDark(true)
		time.AfterFunc(4500*time.Millisecond, func() {
			l.Line("both servers of %s answer again", shards[1])
			servers[2].SetDark(false)
			servers[3].SetDark(false)
		})
		time.AfterFunc(800*time.Millisecond, func() {
			l.Line("%s is killed", victim.Name)
			victim.Kill()
			time.Sleep(300 * time.Millisecond)
			l.Line("%s starts again", victim.Name)
			victim.Start()
		})
	}
	client := NewClient(l.Record, "c0ffee")
	var mu sync.Mutex
	var replies []Reply
	var work sync.WaitGroup
	deadlines := []time.Duration{2500 * time.Millisecond, 3000 * time.Millisecond}
	end := time.Now().Add(10 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(25 * time.Millisecond)
		work.Go(func() {
			r := client.Send(victim, "GET", "/catalogue/2f", deadlines[i%2], "")
			mu.Lock()
			replies = append(replies, r)
			mu.Unlock()
		})
	}
	work.Wait()
	return judgeParts(l, replies)
}

// judgeParts reports whether a success names a part that is no answer to its request.
func judgeParts(l *Lab, replies []Reply) bool {
	ok, foreign := 0, 0
	for _, r := range replies {
		if r.Status != 200 {
			continue
		}
		ok++
		for _, stamp := range splitStamps(r.Header.Values("X-Pistachioshore-Part-Stamps")) {
			if !strings.Contains(stamp, "."+r.ID+".") {
				foreign++
				l.Say("MIXED: the success of request %s names the part %s of another request", r.ID, stamp)
				break
			}
		}
	}
	l.Say("%d requests, %d successes, %d of them with parts of another request", len(replies), ok, foreign)
	return foreign > 0 || l.Held(ok >= 100, "100 successes")
}

func splitStamps(lines []string) []string {
	var list []string
	for _, s := range strings.Split(strings.Join(lines, ","), ",") {
		if s = strings.TrimSpace(s); s != "" {
			list = append(list, s)
		}
	}
	return list
}
