// Package soak runs VMs as separate processes on loopback, with stand-ins for the store, servers and clients.
// It injects faults from outside the processes, drawn from a seed, and checks what clients and servers saw.
package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings describe one soak.
type Settings struct {
	Seed     uint64        // determines the faults, the requests and the ports
	Duration time.Duration // of the fault injection, without the recovery after it
	Command  []string      // program of a VM and its arguments
	Dir      string        // existing directory for the settings and logs of the VMs
}

// Report is the result of a soak.
type Report struct {
	Seed       uint64
	Requests   int         // requests that the clients sent
	Statuses   map[int]int // requests by HTTP status, 0 for no response
	Actions    []string    // faults and planned changes, one line of text each
	Violations []string    // violated guarantees, one line of text each
}

// String returns a summary line, followed by the actions and the violations if there is any violation.
func (r Report) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: %d requests, %v, %d actions, %d violations\n", r.Seed, r.Requests, r.Statuses, len(r.Actions), len(r.Violations))
	if len(r.Violations) > 0 {
		for _, line := range append(r.Actions, r.Violations...) {
			fmt.Fprintln(&out, "  "+line)
		}
	}
	return out.String()
}

// Run runs one soak. It returns an error if the soak could not be run; violations are in the report.
func Run(set Settings) (Report, error) {
	s, err := newCluster(set)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return Report{}, err
	}
	if err := s.awaitReady(readyTimeout); err != nil {
		return Report{}, err
	}
	done := make(chan struct{})
	var clients, actions sync.WaitGroup
	s.startClients(&clients, set.Seed, done)
	start := time.Now()
	for _, a := range schedule(set.Seed, set.Duration) {
		wait(a.at-time.Since(start), nil)
		actions.Go(func() { s.runAction(a, done) })
	}
	wait(set.Duration-time.Since(start), nil)
	actions.Wait()
	if err := s.awaitReady(readyTimeout); err != nil {
		s.history.recordViolation("recovery: " + err.Error())
	}
	if set.Seed >= firstRestoringSeed {
		if err := s.awaitServers(serversTimeout); err != nil {
			s.history.recordViolation("servers: " + err.Error())
		}
	}
	wait(time.Second, nil) // so that the checks also cover requests after the recovery
	close(done)
	clients.Wait()
	return s.buildReport(set.Seed), nil
}

// startClients starts the clients of every VM; they run until done is closed.
func (s *cluster) startClients(clients *sync.WaitGroup, seed uint64, done <-chan struct{}) {
	var nextID atomic.Uint64
	if s.crashing {
		clients.Go(func() { s.sendCrashing(seed, &nextID, done) })
	}
	for i, v := range s.vms {
		for j := range clientsPerVM {
			c := newClient(v, seed+uint64(100*i+j), &nextID, s.history.recordRequest)
			clients.Go(func() { c.run(done) })
		}
	}
}

// awaitReady waits until all VMs are ready.
func (s *cluster) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	end := time.Now().Add(limit)
	for _, v := range s.vms {
		for !v.isReady(client) {
			if time.Now().After(end) {
				return errors.Newf("%s is not ready after %v", v.name, limit)
			}
			wait(20*time.Millisecond, nil)
		}
	}
	return nil
}

// buildReport returns the report of the soak, with the violations that the checks find.
func (s *cluster) buildReport(seed uint64) Report {
	r := Report{Seed: seed, Statuses: map[int]int{}, Violations: s.check()}
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	r.Requests, r.Actions = len(s.history.requests), s.history.actions
	for _, c := range s.history.requests {
		r.Statuses[c.status]++
	}
	return r
}
