// Package soak runs VMs as processes of their own on loopback, between stand-ins of the store, servers and
// clients, injects faults from outside them that a seed draws, and checks what clients and servers saw.
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
	Seed     uint64
	Duration time.Duration // of the faults; the recovery comes on top
	Command  []string      // program of a VM with its arguments
	Dir      string        // for settings and logs of the VMs
}

// Report is what a soak has seen.
type Report struct {
	Seed       uint64
	Requests   int
	Statuses   map[int]int // requests by HTTP status, 0 for no answer
	Actions    []string
	Violations []string // promises that did not hold
}

// String returns the report in lines.
func (r Report) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: %d requests, %v, %d acts, %d broken promises\n", r.Seed, r.Requests, r.Statuses, len(r.Actions), len(r.Violations))
	if len(r.Violations) > 0 {
		for _, line := range append(r.Actions, r.Violations...) {
			fmt.Fprintln(&out, "  "+line)
		}
	}
	return out.String()
}

// Run runs one soak; an error says that it could not be run.
func Run(set Settings) (Report, error) {
	s, err := newSite(set)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return Report{}, err
	}
	if err := s.awaitReady(recovery); err != nil {
		return Report{}, err
	}
	done := make(chan struct{})
	var clients, acts sync.WaitGroup
	s.load(&clients, set.Seed, done)
	start := time.Now()
	for _, a := range schedule(set.Seed, set.Duration) {
		wait(a.at-time.Since(start), nil)
		acts.Go(func() { s.run(a, done) })
	}
	wait(set.Duration-time.Since(start), nil)
	acts.Wait()
	if err := s.awaitReady(recovery); err != nil {
		s.history.problem("recovery: " + err.Error())
	}
	wait(time.Second, nil) // requests of a tier without faults
	close(done)
	clients.Wait()
	return s.report(set.Seed), nil
}

// load starts the clients.
func (s *site) load(work *sync.WaitGroup, seed uint64, done <-chan struct{}) {
	var nextID atomic.Uint64
	for i, v := range s.vms {
		for j := range clientsPerVM {
			c := newClient(v, seed+uint64(100*i+j), &nextID, s.history.call)
			work.Go(func() { c.run(done) })
		}
	}
}

// awaitReady waits until all VMs are ready.
func (s *site) awaitReady(limit time.Duration) error {
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

// report sums the soak up.
func (s *site) report(seed uint64) Report {
	r := Report{Seed: seed, Statuses: map[int]int{}, Violations: s.check()}
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	r.Requests, r.Actions = len(s.history.calls), s.history.acts
	for _, c := range s.history.calls {
		r.Statuses[c.status]++
	}
	return r
}
