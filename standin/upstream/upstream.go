// Package upstream implements stand-ins for upstreams: replicas that search their shards and execute orders.
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

// Counts holds the counts and event lists of an upstream since it was created, across its restarts.
type Counts = wire.UpstreamCounts

// Upstream answers search and execute requests, and counts the start of each before it does any of the work.
type Upstream struct {
	mux      *http.ServeMux
	state    *table.Guarded[state]
	loader   *table.Guarded[Loader]
	endpoint *endpoint
	settings Settings
	address  netip.AddrPort

	restarts  sync.WaitGroup
	done      chan struct{}
	closeOnce sync.Once
}

// New returns an upstream that accepts no connections before Open.
func New(s Settings, load Loader, listen standin.ListenFunc) *Upstream {
	now := time.Now()
	s = s.withDefaults(now)
	u := &Upstream{
		mux: http.NewServeMux(), settings: s, done: make(chan struct{}),
		state:  table.NewGuarded(standin.RankUpstream, newState(now, s)),
		loader: table.NewGuarded(standin.RankUpstream, load),
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

// Open starts accepting connections.
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

// Address returns the TCP address that Open listens on.
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

// Close ends every request and closes every connection.
func (u *Upstream) Close() {
	u.closeOnce.Do(func() { close(u.done) })
	u.state.With(func(s *state) {
		s.closed = true
		s.stop(time.Now())
	})
	u.restarts.Wait()
	u.endpoint.close()
}

// SetLoader replaces the loader of the records.
func (u *Upstream) SetLoader(load Loader) {
	u.loader.With(func(l *Loader) { *l = load })
}

// SetFaults replaces the faults; an error names the field that is out of range.
func (u *Upstream) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	var previous Faults
	down := false
	u.state.With(func(s *state) {
		previous, down = s.faults, s.down
		s.setFaults(time.Now(), f)
	})
	switch {
	case f.Unreachable && !previous.Unreachable:
		u.endpoint.refuseConnections()
	case !f.Unreachable && previous.Unreachable && !down:
		u.endpoint.reopen()
	}
	return nil
}

// Faults returns the current faults.
func (u *Upstream) Faults() Faults {
	return table.WithResult(u.state, func(s *state) Faults { return s.faults })
}

// SilenceConnections makes the open connections neither transfer data nor close, permanently; new connections work.
func (u *Upstream) SilenceConnections() {
	u.endpoint.silence()
}

// Restart ends every request and connection at once; the upstream restarts cold with a new incarnation.
func (u *Upstream) Restart() {
	u.update(func(s *state, now time.Time) {
		if !s.down {
			s.crash(now, wire.Crash{At: now, Cause: "restart"})
		}
	})
}

// Counts returns a copy of the counts.
func (u *Upstream) Counts() Counts {
	c := table.WithResult(u.state, func(s *state) Counts { return s.copyCounts() })
	c.Connections, c.ConnectionsMaximum, c.ConnectionsOverLimit = u.endpoint.counts()
	return c
}

// update runs fn under the lock. If fn crashes the upstream, update starts the restart and returns
// after the connections are closed.
func (u *Upstream) update(fn func(s *state, now time.Time)) {
	var closed chan struct{}
	u.state.With(func(s *state) {
		fn(s, time.Now())
		if s.crashPending {
			s.crashPending = false
			closed = make(chan struct{})
			u.restarts.Go(func() { u.restart(closed) })
		}
	})
	if closed != nil {
		<-closed
	}
}

// restart closes every connection, refuses new ones for the restart time and then accepts them again.
func (u *Upstream) restart(closed chan<- struct{}) {
	u.endpoint.refuseConnections()
	close(closed)
	t := time.NewTimer(u.settings.RestartTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-u.done:
		return
	}
	reachable := table.WithResult(u.state, func(s *state) bool {
		s.finishRestart(time.Now())
		return !s.faults.Unreachable
	})
	if reachable {
		u.endpoint.reopen()
	}
}
