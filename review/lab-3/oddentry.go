package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// oddEntry has another writer leave an entry without a version among those of the servers, at the address of a web server
// that is none of the platform's servers and answers 404 to paths that it does not have.
func oddEntry(l *lab) (int, error) {
	for i, zone := range zones {
		if _, err := l.addServer([]string{"i-a1", "i-b1", "i-c1"}[i], "jobs", zone, nil); err != nil {
			return failed, err
		}
	}
	l.publish(7, 65536, 60,
		routeEntry{Name: "job", Type: "idempotent", TimeoutMs: 2000, TargetMs: 200, MaxAttempts: 2, Service: "jobs"},
		routeEntry{Name: "order", Type: "non_idempotent", TimeoutMs: 2000, TargetMs: 200, MaxAttempts: 2, Service: "jobs"})
	if err := l.startTier(3, 284, 1000); err != nil {
		return failed, err
	}
	var foreign atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		foreign.Add(1)
		l.note("the other writer's web server got %s %s of request %s", r.Method, r.RequestURI, r.Header.Get("X-Pistachioshore-Request-Id"))
		http.NotFound(w, r)
	})}
	go func() { _ = web.Serve(listener) }()
	defer func() { _ = web.Close() }()
	time.Sleep(4 * time.Second) // the VMs are in touch
	if l.trouble {
		b, _ := json.Marshal(map[string]any{ // the fields of a server's entry, but for the version
			"service": "jobs", "address": listener.Addr().String(), "zone": zones[0], "capacity": 6, "state": "ready", "warmupLeftMs": 0, "sequence": 4,
		})
		l.store.put("servers/i-note", b)
		l.logf("another writer wrote servers/i-note: %s", b)
	}
	var mu sync.Mutex
	status := map[int]int{}
	ordersLost := 0
	var clients sync.WaitGroup
	end := time.Now().Add(8 * time.Second)
	for _, v := range l.vms {
		for n := range 4 {
			clients.Go(func() {
				c := newClient(v.front)
				for i := n; time.Now().Before(end); i++ {
					path, method := "/job/1", http.MethodGet
					if i%2 == 0 {
						path, method = "/order/1", http.MethodPost
					}
					a := c.send(method, path, []byte("pump"), 2*time.Second)
					l.note("%s %s request %s: status %d, stamp %q after %v", method, path, a.id, a.status, a.stamp, a.took.Round(time.Millisecond))
					mu.Lock()
					status[a.status]++
					if a.status == http.StatusNotFound && method == http.MethodPost {
						ordersLost++
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	l.logf("answers by status: %v; requests at the other writer's web server: %d; orders that got 404: %d", status, foreign.Load(), ordersLost)
	sent := 0
	for _, n := range status {
		sent += n
	}
	if float64(status[http.StatusNotFound]) > 5+float64(sent)/500 {
		l.logf("DENIED: %d of %d requests got 404, allowed are 5 and one in 500", status[http.StatusNotFound], sent)
		return broken, nil
	}
	if status[http.StatusOK] == 0 {
		l.logf("no request was served")
		return failed, nil
	}
	return held, nil
}
