package soak

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/standin/kv"
)

const (
	// restoreDowntime is how long the store is unavailable before it comes back from an older copy.
	restoreDowntime = 300 * time.Millisecond

	// rewriteDelay is the time within which the servers and the operator write their entries again.
	rewriteDelay = 1500 * time.Millisecond

	// serversTimeout is the time within which each VM knows the servers that the store lists, once all VMs are ready. A watch
	// that misses a change times out after 25 s and does not bring it then either.
	serversTimeout = 8 * time.Second
)

// restoreStore makes the store unavailable and brings it back from a copy that is as old as the action lasts. The writes since
// then are lost until the servers and the operator write their entries again.
func (s *cluster) restoreStore(a action, done <-chan struct{}) {
	older := s.store.TakeCopy()
	start := time.Now()
	s.history.recordVMFault(nil, start, start.Add(a.duration+restoreDowntime+rewriteDelay))
	wait(a.duration, done)
	s.store.SetFault(kv.ResetConnections)
	wait(restoreDowntime, done)
	s.store.Restore(older)
	s.store.SetFault(kv.NoFault)
	wait(time.Duration(a.selector%uint64(rewriteDelay)), done)
	s.writeAgain()
}

// writeAgain writes the entries that a restored store may have lost, and deletes those that it may have brought back.
func (s *cluster) writeAgain() {
	s.publishMu.Lock()
	s.store.Put("op/config", s.published)
	s.publishMu.Unlock()
	s.evacuateMu.Lock()
	s.writeEvacuation(zoneB)
	s.evacuateMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		s.history.mu.Lock()
		_, drains := s.history.drainedAt[srv.ID()]
		s.history.mu.Unlock()
		switch {
		case drains:
			s.store.Put(srv.Key(), srv.EntryWithAddress(srv.proxy.address(), "draining"))
		case srv.removed:
			s.store.Delete(srv.Key())
		default:
			s.store.Put(srv.Key(), srv.EntryWithAddress(srv.proxy.address(), "ready"))
		}
	}
}

// awaitServers waits until each VM has known as many servers as the store lists.
func (s *cluster) awaitServers(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	end := time.Now().Add(limit)
	for _, v := range s.vms {
		for {
			want, got := s.listedServers(), v.knownServers(client)
			if got == want {
				break
			}
			if time.Now().After(end) {
				return errors.Newf("%s knows %d servers after %v, the store lists %d", v.name, got, limit, want)
			}
			wait(20*time.Millisecond, nil)
		}
	}
	return nil
}

// listedServers returns the number of servers that have an entry.
func (s *cluster) listedServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	n := 0
	for _, srv := range s.servers {
		if _, drains := s.history.drainedAt[srv.ID()]; drains || !srv.removed {
			n++
		}
	}
	return n
}

// knownServers returns the number of servers that the VM knows by its metrics, or -1 if it does not tell.
func (v *vm) knownServers(client *http.Client) int {
	resp, err := client.Get("http://" + v.metricsAddress.String() + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1
	}
	_, text, _ := strings.Cut(string(body), "\npistachio_upstreams ")
	line, _, _ := strings.Cut(text, "\n")
	n, err := strconv.Atoi(line)
	if err != nil {
		return -1
	}
	return n
}

// writeEvacuation writes whether a zone is evacuated. The caller holds evacuateMu.
func (s *cluster) writeEvacuation(zone string) {
	if s.evacuated {
		s.store.Put("op/evacuate/"+zone, []byte("{}"))
	} else {
		s.store.Delete("op/evacuate/" + zone)
	}
}

// setEvacuated evacuates a zone or ends that.
func (s *cluster) setEvacuated(zone string, evacuated bool) {
	s.evacuateMu.Lock()
	defer s.evacuateMu.Unlock()
	s.evacuated = evacuated
	s.writeEvacuation(zone)
}
