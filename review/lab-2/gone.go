package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	hungUploads  = 110
	hungBytes    = 160 << 10
	leavers      = 24
	leaveAfter   = 300 * time.Millisecond
	goneAfter    = 500 * time.Millisecond
	goneFew      = 3 // "more than a few"
	longDeadline = 5 * time.Second
)

// addHungServer starts a server that accepts connections and reads nothing.
func (l *lab) addHungServer(service, zone string, n int, hung bool) (*server, error) {
	listener, err := smallWindows("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		lab: l, id: fmt.Sprintf("i-%s-%s-%d", service, zone, n), service: service, zone: zone, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), capacity: 96, work: 5 * time.Millisecond,
	}
	s.body = func(id string) []byte { return []byte(id) }
	if !hung {
		go func() { _ = (&http.Server{Handler: s}).Serve(listener) }() // ends with the process
		return s, nil
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			l.logf("server %s: connection from %s, reads nothing", s.id, c.RemoteAddr())
			go func() { // keeps the connection open
				<-time.After(time.Hour)
				c.Close()
			}()
		}
	}()
	return s, nil
}

// leave sends a request whose client closes the connection after a time, and returns when it did.
func leave(address, path, id string, body []byte, after time.Duration) (closedAt time.Time, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return time.Time{}, err
	}
	defer c.Close()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: pupu76.example\r\nX-Pistachioshore-Request-Id: %s\r\nX-Pistachioshore-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, id, longDeadline.Milliseconds(), len(body))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return time.Time{}, err
	}
	_ = c.SetReadDeadline(time.Now().Add(after))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		return time.Time{}, fmt.Errorf("answered with %d", resp.StatusCode)
	}
	return time.Now(), nil
}

// gone plays servers that hang while long requests are sent to them, and clients of another service that leave.
func gone(l *lab, trouble bool) (int, error) {
	zones := []string{"perth-north", "perth-east", "perth-south"}
	var services []configSvc
	for _, name := range []string{"care-desk", "card-admin"} {
		services = append(services, configSvc{Name: name, HealthPath: "/health", MaxConnections: 96, Protocol: "h1", WarmupS: 3})
	}
	var sound []*server
	for n, zone := range zones {
		for i := range 3 {
			h, err := l.addHungServer("care-desk", zone, 3*n+i, trouble)
			if err != nil {
				return 0, err
			}
			h.register("ready")
		}
		s, err := l.addServer("card-admin", zone, n, 96, 100*time.Millisecond)
		if err != nil {
			return 0, err
		}
		s.register("ready")
		sound = append(sound, s)
	}
	l.putConfig(config{Version: 7, Services: services, Limits: limits(), Routes: []configRoute{
		{Name: "r-upload", Host: "pupu76.example", Prefix: "/envoi1/", Type: "non_idempotent", TimeoutMs: 5000, TargetMs: 800, Priority: 2, Service: "care-desk", MaxAttempts: 2},
		{Name: "r-order", Host: "pupu76.example", Prefix: "/timi402/", Type: "non_idempotent", TimeoutMs: 5000, TargetMs: 800, Priority: 1, Service: "card-admin", MaxAttempts: 2},
	}})
	for _, zone := range zones {
		if _, err := l.addVM(zone); err != nil {
			return 0, err
		}
	}
	if err := l.startAll(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // the VMs know each other
	v := l.vms[0]
	body := bytes.Repeat([]byte("u"), uploadBytes)

	var work, clients sync.WaitGroup
	for i := range hungUploads {
		clients.Go(func() {
			id := fmt.Sprintf("aaaa%012x", i)
			a := call("POST", v.front, "pupu76.example", "/envoi1/2f", id, longDeadline, bytes.NewReader(body[:hungBytes]), hungBytes)
			l.logf("client: upload %s at %s: status %d, error %v, %v", id, v.name, a.status, a.err, a.took)
		})
	}
	// Orders are sent all the while, so that connections to their service are open.
	stop := make(chan struct{})
	work.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			for j := range leavers {
				work.Go(func() {
					id := fmt.Sprintf("cccc%08x%04x", i, j)
					call("POST", v.front, "pupu76.example", "/timi402/2f", id, time.Second, bytes.NewReader([]byte("x")), 1)
				})
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	work.Wait()
	closed := map[string]time.Time{}
	var mu sync.Mutex
	for i := range leavers {
		clients.Go(func() {
			id := fmt.Sprintf("bbbb%012x", i)
			at, err := leave(v.front, "/timi402/2f", id, body[:64<<10], leaveAfter)
			l.logf("client: order %s at %s: left at %v, error %v", id, v.name, !at.IsZero(), err)
			mu.Lock()
			defer mu.Unlock()
			if !at.IsZero() {
				closed[id] = at
			}
		})
	}
	clients.Wait()
	time.Sleep(3 * time.Second)

	late := 0
	for _, s := range sound {
		s.mu.Lock()
		for _, r := range s.runs {
			if at, left := closed[r.id]; left && r.at.Sub(at) > goneAfter {
				late++
				l.logf("server %s: %s reached it %v after its client had closed the connection", s.id, r.id, r.at.Sub(at))
			}
		}
		s.mu.Unlock()
	}
	l.say("%d of %d clients left; %d of their orders reached a sound server more than %v later", len(closed), leavers, late, goneAfter)
	if late > goneFew {
		return exitBroken, nil
	}
	return exitHeld, l.allAlive()
}
