package main

import (
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["copied"] = copiedRefusal
}

// copiedRefusal has more clients than a server has room for, so that it turns some requests away as not run. This server,
// one of two, sends a few of its answers a second time, late, for 5 s at a time. The clients look for a refusal of a request that the server
// has run.
func copiedRefusal(l *Lab) bool {
	const (
		share  = 0.04            // of the answers that are sent twice
		window = 5 * time.Second // length of one disruption
		pause  = 2 * time.Second // between two of them
	)
	store := NewStore(l.Record)
	server := NewServer(l.Record, "i-suivi-1", "suivi", "brest-nord", 6, 24)
	server.Work = func(*http.Request) time.Duration { return 5 * time.Millisecond }
	random, copies, answers := rand.New(rand.NewSource(1)), 0, 0
	var mu sync.Mutex
	begin := time.Now()
	server.Copy = func(int) bool {
		mu.Lock()
		defer mu.Unlock()
		answers++
		again := l.Trouble && time.Since(begin)%(window+pause) < window && random.Float64() < share
		if again {
			copies++
		}
		return again
	}
	sound := NewServer(l.Record, "i-relances-1", "relances", "brest-nord", 6, 24)
	sound.Work = server.Work
	routes := []map[string]any{
		routeOf("bon-travail", "/bon/", "non_idempotent", "suivi", nil, 5000, 800, 0, 0),
		routeOf("relances", "/relances/", "non_idempotent", "relances", nil, 5000, 800, 0, 0),
	}
	store.Put("op/config", configOf(7, routes, []string{"suivi", "relances"}, 96))
	for _, s := range []*Server{server, sound} {
		store.Put("servers/"+s.ID, s.Entry("ready", 1))
	}
	vm := NewVMs(l.Dir, store.Address, []string{"brest-nord"})[0]
	vm.Start()
	vm.WaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	client := NewClient(l.Record, "beef")
	var replies []Reply
	var work sync.WaitGroup
	for i := range 65 { // clients, each with one request at a time
		path := "/bon/2f"
		if i >= 60 {
			path = "/relances/2f"
		}
		work.Go(func() {
			for end := time.Now().Add(35 * time.Second); time.Now().Before(end); {
				r := client.Send(vm, "POST", path, 5*time.Second, "order")
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				if r.Status != 200 {
					time.Sleep(r.wait())
				}
			}
		})
	}
	work.Wait()
	time.Sleep(time.Second)
	l.Say("the server gave %d answers, %d of them twice", answers, copies)
	return judgeRefusals(l, replies, []*Server{server, sound}) ||
		l.Held(answers >= 1000 && (copies > 0) == l.Trouble, "1000 answers of the server, and copies just with the disruption")
}

// judgeRefusals reports whether a request that was refused as not run has run, or a request has run twice.
func judgeRefusals(l *Lab, replies []Reply, servers []*Server) bool {
	runs := map[string]int{}
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			if a.Ran {
				runs[a.Request]++
			}
		}
	}
	refused, broken, twice := 0, 0, 0
	for _, r := range replies {
		switch r.Status {
		case 429, 503, 408, 421:
			refused++
			if runs[r.ID] > 0 {
				broken++
				l.Say("REFUSED: request %s was answered %d and has run %d times", r.ID, r.Status, runs[r.ID])
			}
		}
		if runs[r.ID] > 1 {
			twice++
			l.Say("TWICE: request %s has run %d times", r.ID, runs[r.ID])
		}
	}
	l.Say("%d requests, %d of them refused, %d refused though they have run, %d run more than once", len(replies), refused, broken, twice)
	return broken+twice > 0
}
