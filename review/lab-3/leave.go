package main

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	leaveLength = 15 * time.Second
	leaveEach   = 5                      // one client in this number leaves
	leaveAfter  = 100 * time.Millisecond // half of the route's latency target
	leaveBound  = 500 * time.Millisecond
	leaveFew    = 5 // requests that are still a few
)

// leave has clients send large bodies of legal size at once, of which some leave before their deadline, and counts the
// requests that reach a server long after their client has closed its connection.
func leave(l *lab) (int, error) {
	if err := l.startFloodTier(); err != nil {
		return failed, err
	}
	v := l.vms[0]
	body := bytes.Repeat([]byte("x"), floodBody)
	end := time.Now().Add(leaveLength)
	var mu sync.Mutex
	status := map[int]int{}
	leftAt := map[string]time.Time{}
	var clients sync.WaitGroup
	for n := range floodClients {
		clients.Go(func() {
			c := newClient(v.front)
			for time.Now().Before(end) {
				ctx, cancel := context.WithCancel(context.Background())
				leaves := l.trouble && n%leaveEach == 0
				if leaves {
					time.AfterFunc(leaveAfter, cancel)
				}
				a := c.sendUntil(ctx, http.MethodPost, "/look/1", body, 1200*time.Millisecond)
				if ctx.Err() != nil && a.status == 0 {
					mu.Lock()
					leftAt[a.id] = a.sentAt.Add(a.took)
					mu.Unlock()
				}
				cancel()
				mu.Lock()
				status[a.status]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(4 * time.Second)
	late := map[string]time.Duration{}
	runs := 0
	for _, s := range l.servers {
		for _, e := range s.executions() {
			runs++
			if left, ok := leftAt[e.id]; ok && e.at.Sub(left) > leaveBound {
				late[e.id] = max(late[e.id], e.at.Sub(left))
			}
		}
	}
	var longest time.Duration
	for id, d := range late {
		longest = max(longest, d)
		l.note("request %s: its client closed its connection at %.3f; it ran at a server up to %v after that", id, leftAt[id].Sub(l.start).Seconds(), d.Round(time.Millisecond))
	}
	l.logf("answers by status (0: the client left): %v; runs at servers: %d", status, runs)
	l.logf("%d requests of clients that left; %d of these reached a server more than %v later, the last one %v later",
		len(leftAt), len(late), leaveBound, longest.Round(time.Millisecond))
	switch {
	case len(late) > leaveFew:
		l.logf("GONE: more than a few requests reached a server over half a second after their client had closed its connection")
		return broken, nil
	case runs == 0:
		return failed, nil
	}
	return held, nil
}
