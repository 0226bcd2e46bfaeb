package vm

import (
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/table"
)

// readiness tracks what the readiness of this VM depends on: which listed VMs have sent a heartbeat, and
// since when this VM is drained. It also records when the periodic tasks last ran.
type readiness struct {
	applyMu sync.Mutex // serializes applyConfig; locked before any table
	state   *table.Guarded[readinessState]
}

type readinessState struct {
	vmListReceived    bool
	unheard           map[netip.AddrPort]bool // listed VMs that have sent no heartbeat yet
	heard             map[netip.AddrPort]bool
	drainedSince      time.Time // zero if in service
	lastConfigRequest configRequest
	lastTick          time.Time
	lastHeartbeat     time.Time
}

// configRequest is the latest request for a peer's configuration.
type configRequest struct {
	revision uint64
	digest   uint64
	sentAt   time.Time
}

func newReadiness() *readiness {
	return &readiness{state: table.NewGuarded(table.RankPending, readinessState{
		unheard: map[netip.AddrPort]bool{}, heard: map[netip.AddrPort]bool{},
	})}
}

func (r *readiness) setPeers(peers []netip.AddrPort) {
	r.state.With(func(s *readinessState) {
		s.vmListReceived = true
		clear(s.unheard)
		for _, p := range peers {
			if !s.heard[p] {
				s.unheard[p] = true
			}
		}
	})
}

func (r *readiness) markHeard(peer netip.AddrPort) {
	r.state.With(func(s *readinessState) {
		s.heard[peer] = true
		delete(s.unheard, peer)
	})
}

// allPeersHeard reports whether every listed VM has sent a heartbeat.
func (r *readiness) allPeersHeard() bool {
	return table.WithResult(r.state, func(s *readinessState) bool { return s.vmListReceived && len(s.unheard) == 0 })
}

func (r *readiness) setDrained(now time.Time, drained bool) {
	r.state.With(func(s *readinessState) {
		switch {
		case !drained:
			s.drainedSince = time.Time{}
		case s.drainedSince.IsZero():
			s.drainedSince = now
		}
	})
}

// drainedFor returns how long this VM has been drained, or 0 if it is in service.
func (r *readiness) drainedFor(now time.Time) time.Duration {
	return table.WithResult(r.state, func(s *readinessState) time.Duration {
		if s.drainedSince.IsZero() {
			return 0
		}
		return max(now.Sub(s.drainedSince), time.Nanosecond)
	})
}

// heartbeatDue reports whether a heartbeat is due and, if so, records that it is sent at now.
func (r *readiness) heartbeatDue(now time.Time, interval time.Duration) bool {
	return table.WithResult(r.state, func(s *readinessState) bool {
		if now.Sub(s.lastHeartbeat) < interval {
			return false
		}
		s.lastHeartbeat = now
		return true
	})
}

func (r *readiness) recordTick(now time.Time) {
	r.state.With(func(s *readinessState) { s.lastTick = now })
}

// lastTick returns the time of the last tick, from which the length of a process pause is computed.
func (r *readiness) lastTick() time.Time {
	return table.WithResult(r.state, func(s *readinessState) time.Time { return s.lastTick })
}

// mayRequestConfig reports whether to request a configuration now and, if so, records the request. The
// configuration can be large, so it is not requested again while a reply may be in flight.
func (r *readiness) mayRequestConfig(now time.Time, revision, digest uint64) bool {
	return table.WithResult(r.state, func(s *readinessState) bool {
		if s.lastConfigRequest.revision == revision && s.lastConfigRequest.digest == digest && now.Sub(s.lastConfigRequest.sentAt) < configRequestInterval {
			return false
		}
		s.lastConfigRequest = configRequest{revision, digest, now}
		return true
	})
}
