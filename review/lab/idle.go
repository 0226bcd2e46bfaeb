package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["idle"] = idleLimitRaised
}

const (
	lossLimit     = 3 // LOST: "more than three times"
	oldIdleLimit  = 15 * time.Second
	newIdleLimit  = 30 * time.Second
	pollingGap    = 16 * time.Second     // four fifths of the new limit allow 24 s
	pollingJitter = 2 * time.Millisecond // of the timers of the clients
	pollers       = 1500                 // each with a connection; a VM may open 4100 files
)

// idleLimitRaised has clients send an order every 16 s over a connection that they keep. An operator raises the idle limit from
// 15 to 30 s between their first and second order. It looks for orders that have run and whose connection ended without an answer.
func idleLimitRaised(l *Lab) bool {
	store := NewStore(l.Record)
	services := []string{"suivi-chantier"}
	var servers []*Server
	for i, zone := range []string{"brest-nord", "angers-est", "cherbourg-sud"} {
		s := NewServer(l.Record, fmt.Sprintf("i-%d", i), services[0], zone, 16, 100)
		servers = append(servers, s)
		store.Put("servers/"+s.ID, s.Entry("ready", 1))
	}
	config := func(version int, idle time.Duration) map[string]any {
		c := configOf(version, []map[string]any{routeOf("bon-travail", "/bon/", "non_idempotent", services[0], nil, 5000, 800, 0, 0)}, services, 96)
		c["limits"].(map[string]int)["idleTimeoutMs"] = int(idle.Milliseconds())
		return c
	}
	store.Put("op/config", config(7, oldIdleLimit))
	vm := NewVMs(l.Dir, store.Address, []string{"brest-nord"})[0]
	vm.Start()
	vm.WaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	if l.Trouble {
		time.AfterFunc(6*time.Second, func() {
			store.Put("op/config", config(8, newIdleLimit))
			l.Line("configuration 8 is acknowledged, it raises the idle limit from %v to %v", oldIdleLimit, newIdleLimit)
		})
	}
	var mu sync.Mutex
	var cut []string
	answered, closed := 0, 0
	var work sync.WaitGroup
	for n := range pollers {
		work.Go(func() {
			time.Sleep(time.Duration(n) * 4 * time.Millisecond)
			c, err := net.Dial("tcp", vm.Front)
			unable(err)
			defer c.Close()
			br := bufio.NewReader(c)
			send := func(id string) bool {
				l.Line("client sends order %s", id)
				if _, err := fmt.Fprintf(c, "POST /bon/2f HTTP/1.1\r\nHost: %s\r\nX-Pistachioshore-Request-Id: %s\r\nX-Pistachioshore-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\norder", host, id); err != nil {
					return false
				}
				_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					return false
				}
				_, err = io.Copy(io.Discard, resp.Body)
				l.Line("client gets %d for order %s", resp.StatusCode, id)
				return err == nil
			}
			if !send(fmt.Sprintf("a%06x", n)) {
				return
			}
			gap := pollingGap + time.Duration(rand.Int63n(int64(2*pollingJitter))) - pollingJitter
			if !l.Trouble {
				gap = 11 * time.Second // clients reuse a connection within four fifths of the limit, here the old one
			}
			time.Sleep(gap)
			id := fmt.Sprintf("b%06x", n)
			ok := send(id)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				answered++
			} else {
				closed++
				cut = append(cut, id)
			}
		})
	}
	work.Wait()
	time.Sleep(200 * time.Millisecond)
	ran := map[string]bool{}
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			ran[a.Request] = true
		}
	}
	lost := 0
	for _, id := range cut {
		if ran[id] {
			lost++
			l.Line("LOST: order %s was passed on to a server, and its connection ended without an answer", id)
		}
	}
	l.Say("%d second orders: %d answered, %d connections ended without an answer, %d of these after the order had reached a server", answered+closed, answered, closed, lost)
	return lost > lossLimit || l.Held(answered+closed >= pollers/2, "second orders")
}
