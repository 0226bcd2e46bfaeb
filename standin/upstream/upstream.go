// Package upstream is the stand-in for one upstream: a replica that searches its shards and executes orders.
package upstream

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
	"pistachioshore.dev/wire"
)

// Counts is what an upstream has counted since it began.
type Counts = wire.UpstreamCounts

// Upstream answers searches and executions, and counts each start before any of its work is done.
type Upstream struct {
	mux      *http.ServeMux
	state    *table.Guarded[state]
	data     *table.Guarded[Loader]
	endpoint *endpoint
	settings Settings
	address  netip.AddrPort

	restarts sync.WaitGroup
	done     chan struct{}
	closing  sync.Once
}

// New returns an upstream that accepts no connections yet.
func New(s Settings, load Loader, listen standin.ListenFunc) *Upstream {
	now := time.Now()
	s = s.withDefaults(now)
	u := &Upstream{
		mux: http.NewServeMux(), settings: s, done: make(chan struct{}),
		state: table.NewGuarded(standin.RankUpstream, newState(now, s)),
		data:  table.NewGuarded(standin.RankUpstream, load),
	}
	u.endpoint = newEndpoint(listen, u, s.MaxConnections, s.ConnectTime)
	u.mux.HandleFunc("POST /v1/search", u.search)
	u.mux.HandleFunc("POST /v1/execute", u.execute)
	u.mux.HandleFunc("DELETE /v1/requests/{id...}", u.cancel)
	u.mux.HandleFunc("GET /v1/health", u.health)
	u.mux.HandleFunc("GET /v1/load", u.load)
	u.mux.HandleFunc("GET /v1/starts", u.listStarts)
	u.mux.HandleFunc("PUT /v1/faults", u.putFaults)
	return u
}

// Open starts to accept connections.
func (u *Upstream) Open() error {
	address, err := u.endpoint.open()
	if err != nil {
		return err
	}
	if tcp, ok := address.(*net.TCPAddr); ok {
		u.address = tcp.AddrPort()
	}
	return nil
}

// Address returns the address that Open listens on.
func (u *Upstream) Address() netip.AddrPort {
	return u.address
}

// Name returns the upstream's name.
func (u *Upstream) Name() string {
	return u.settings.Name
}

// Zone returns the upstream's availability zone.
func (u *Upstream) Zone() string {
	return u.settings.Zone
}

// Close ends every request and connection.
func (u *Upstream) Close() {
	u.closing.Do(func() { close(u.done) })
	u.state.With(func(s *state) {
		s.closed = true
		s.stop(time.Now())
	})
	u.restarts.Wait()
	u.endpoint.close()
}

// SetLoader replaces the records.
func (u *Upstream) SetLoader(load Loader) {
	u.data.With(func(l *Loader) { *l = load })
}

// SetFaults replaces the faults; an error names the value that is out of range.
func (u *Upstream) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	var before Faults
	down := false
	u.state.With(func(s *state) {
		before, down = s.faults, s.down
		s.setFaults(time.Now(), f)
	})
	switch {
	case f.Unreachable && !before.Unreachable:
		u.endpoint.refuse()
	case !f.Unreachable && before.Unreachable && !down:
		u.endpoint.reopen()
	}
	return nil
}

// Faults returns the faults set now.
func (u *Upstream) Faults() Faults {
	return table.WithResult(u.state, func(s *state) Faults { return s.faults })
}

// SilenceConnections makes the present connections neither deliver nor close, for good; new connections work.
func (u *Upstream) SilenceConnections() {
	u.endpoint.silence()
}

// Restart ends everything without warning; the upstream comes back cold with a new incarnation.
func (u *Upstream) Restart() {
	u.with(func(s *state, now time.Time) {
		if !s.down {
			s.crash(now, wire.Crash{At: now, Cause: "restart"})
		}
	})
}

// Counts returns a copy of everything counted so far.
func (u *Upstream) Counts() Counts {
	c := table.WithResult(u.state, func(s *state) Counts { return s.snapshotCounts() })
	c.Connections, c.ConnectionsMaximum, c.ConnectionsOverLimit = u.endpoint.counts()
	return c
}

// with runs fn under the lock and carries out a crash that it caused.
func (u *Upstream) with(fn func(s *state, now time.Time)) {
	var refused chan struct{}
	u.state.With(func(s *state) {
		fn(s, time.Now())
		if s.fell {
			s.fell = false
			refused = make(chan struct{})
			u.restarts.Go(func() { u.restart(refused) })
		}
	})
	if refused != nil {
		<-refused
	}
}

// restart refuses connections for the restart time.
func (u *Upstream) restart(refused chan<- struct{}) {
	u.endpoint.refuse()
	close(refused)
	t := time.NewTimer(u.settings.RestartTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-u.done:
		return
	}
	reachable := table.WithResult(u.state, func(s *state) bool {
		s.rise(time.Now())
		return !s.faults.Unreachable
	})
	if reachable {
		u.endpoint.reopen()
	}
}
