package main

import (
	"fmt"
	"math"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["restart"] = leavingAfterRestart
}

const (
	touchBound   = 4000 * time.Millisecond // contactMs
	restartDelay = 500 * time.Millisecond  // between the end of a process and its new start
	leavingCount = 7                       // of 40 servers, a share of 0.175
	measureSlack = 150 * time.Millisecond  // allowed beyond drainMs, for the scheduling of the stand-ins
)

// leavingAfterRestart stops one VM as planned and starts it again. A little later servers leave: their entries are removed,
// and they continue to serve. It looks for requests that reach one of them too late.
func leavingAfterRestart(l *Lab) bool {
	store := NewStore(l.Record)
	work := newWorkTime(28, 0.35, 0.01, 5, 210)
	var shards []string
	var servers, leaving []*Server
	for i := range 20 {
		service := fmt.Sprintf("chiffrage-%02d", i+1)
		shards = append(shards, service)
		for _, zone := range []string{"brest-nord", "angers-est"} {
			s := NewServer(l.Record, fmt.Sprintf("i-%02d-%.1s", i+1, zone), service, zone, 3, 18)
			s.Work = func(*http.Request) time.Duration { return work.next() }
			servers = append(servers, s)
			if zone == "brest-nord" && len(leaving) < leavingCount {
				leaving = append(leaving, s)
			}
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
	vm := vms[0]
	if l.Trouble {
		l.Line("%s gets SIGTERM", vm.Name)
		vm.Stop()
		time.Sleep(restartDelay)
		l.Line("%s starts again", vm.Name)
		vm.Start()
		vm.WaitReady(10 * time.Second)
	}
	startedAt := time.Now()
	acks := map[*Server]time.Time{}
	client := NewClient(l.Record, "1ea7e")
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	ok := 0
	var sends sync.WaitGroup
	nextLeaving := startedAt.Add(500 * time.Millisecond)
	for end := startedAt.Add(9 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(acks) < len(leaving) && time.Now().After(nextLeaving) {
			s := leaving[len(acks)]
			acks[s] = store.Delete("servers/" + s.ID)
			l.Line("the entry of %s is removed and the store acknowledges it; the server continues to serve", s.ID)
			nextLeaving = nextLeaving.Add(100 * time.Millisecond)
		}
		sends.Go(func() {
			r := client.Send(vm, "GET", "/catalogue/2f", 1200*time.Millisecond, "")
			mu.Lock()
			defer mu.Unlock()
			sentAt[r.ID] = r.SentAt
			if r.Status == http.StatusOK {
				ok++
			}
		})
	}
	sends.Wait()
	late, judged, last := 0, 0, time.Duration(0)
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			if sentAt[a.Request].Sub(startedAt) <= touchBound {
				continue // the VM may not be in touch yet
			}
			judged++
			ack, gone := acks[s]
			if since := a.At.Sub(ack); gone && since > drainBound+measureSlack {
				late++
				last = max(last, since)
				l.Line("DRAIN: request %s reaches %s, whose entry is gone, %.3f s after the ack", a.Request, s.ID, since.Seconds())
			}
		}
	}
	l.Say("%d requests, %d successes; %d servers left; %d arrivals at servers from %v after the VM was ready", len(sentAt), ok, len(acks), judged, touchBound)
	l.Say("%d requests reached a server that has left later than %v after the ack, the last one after %.3f s", late, drainBound+measureSlack, last.Seconds())
	return late > 0 || l.Held(judged >= 1000 && len(acks) == leavingCount, "1000 arrivals after the bound, and servers that leave")
}

// workTime draws how long servers work, like the site file: a mean, a spread, and a tail of requests that take longer.
type workTime struct {
	mu                               sync.Mutex
	random                           *rand.Rand
	mean, spread, tail, factor, most float64
}

// newWorkTime returns the times of a site's kind of request, in ms.
func newWorkTime(mean, spread, tail, factor, most float64) *workTime {
	return &workTime{random: rand.New(rand.NewSource(1)), mean: mean, spread: spread, tail: tail, factor: factor, most: most}
}

func (w *workTime) next() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	ms := w.mean * math.Exp(w.spread*w.random.NormFloat64()-w.spread*w.spread/2)
	if w.random.Float64() < w.tail {
		ms *= w.factor
	}
	return time.Duration(min(ms, w.most) * float64(time.Millisecond))
}
