package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment and the flood of largeBodies.
const (
	floodShards   = 30
	floodMemoryMB = 284
	floodBody     = 256 << 10 // the largest body that the configuration allows
	floodClients  = 250
	floodDeadline = 200 * time.Millisecond
	floodLength   = 20 * time.Second
)

// startFloodTier starts three VMs with a route over shards.
func (l *lab) startFloodTier() error {
	var shards []string
	for n := range floodShards {
		name := "shard-" + strconv.Itoa(n)
		shards = append(shards, name)
		for i, zone := range zones[:2] {
			if _, err := l.addServer(fmt.Sprintf("i-%d-%d", n, i), name, zone, func(s *server) { s.records = true }); err != nil {
				return err
			}
		}
	}
	l.publish(7, floodBody, 30,
		routeEntry{Name: "look", Type: "idempotent", TimeoutMs: 1200, TargetMs: 200, MaxAttempts: 2, Gather: shards, TopK: 10, MinSuccess: 0.89})
	_ = os.Setenv("GOMAXPROCS", "1") // the platform's machines have one core
	if err := l.startTier(3, floodMemoryMB, 1000); err != nil {
		return err
	}
	time.Sleep(4500 * time.Millisecond) // the VMs are in touch
	return nil
}

// largeBodies has clients send many large bodies of legal size at once to a route over shards, and watches the memory of the VM.
func largeBodies(l *lab) (int, error) {
	if err := l.startFloodTier(); err != nil {
		return failed, err
	}
	v := l.vms[0]
	l.logf("before: %s has a resident memory of %d MB at its peak", v.name, v.memory("VmHWM"))
	end := time.Now().Add(floodLength)
	var mu sync.Mutex
	ordinary, large := map[int]int{}, map[int]int{} // by status
	var done atomic.Bool
	var peakAnon atomic.Int64
	var watching sync.WaitGroup
	watching.Go(func() {
		for n := 0; !done.Load(); n++ {
			peakAnon.Store(max(peakAnon.Load(), int64(v.memory("RssAnon"))))
			if n%100 == 0 {
				mu.Lock()
				l.logf("%s: resident memory %d MB, %d MB of it not from files; answers to large bodies so far: %v", v.name, v.memory("VmRSS"), v.memory("RssAnon"), large)
				mu.Unlock()
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	var clients sync.WaitGroup
	send := func(count map[int]int, method string, body []byte, deadline, pause time.Duration) {
		c := newClient(v.front)
		for time.Now().Before(end) {
			a := c.send(method, "/look/1", body, deadline)
			if len(body) == 0 {
				l.note("%s request %s: status %d after %v", method, a.id, a.status, a.took.Round(time.Millisecond))
			}
			mu.Lock()
			count[a.status]++
			mu.Unlock()
			time.Sleep(pause)
		}
	}
	for range 5 {
		clients.Go(func() { send(ordinary, http.MethodGet, nil, 1200*time.Millisecond, 300*time.Millisecond) })
	}
	if l.trouble {
		body := bytes.Repeat([]byte("x"), floodBody)
		for range floodClients {
			clients.Go(func() { send(large, http.MethodPost, body, floodDeadline, 0) })
		}
	}
	clients.Wait()
	done.Store(true)
	watching.Wait()
	runs := 0
	for _, s := range l.servers {
		runs += len(s.executions())
	}
	l.logf("ordinary callers' answers by status: %v; those of the large bodies: %v; runs at servers: %d", ordinary, large, runs)
	l.logf("%s: at its peak %d MB resident, %d MB of it not from files; the machine has %d MB", v.name, v.memory("VmHWM"), peakAnon.Load(), floodMemoryMB)
	switch {
	case !v.isRunning():
		l.logf("%s has ended by itself", v.name)
		return broken, nil
	case peakAnon.Load() > floodMemoryMB:
		l.logf("Fault: more memory than the machine has")
		return broken, nil
	case ordinary[http.StatusOK] == 0:
		return failed, nil
	}
	return held, nil
}
