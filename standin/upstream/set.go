package upstream

import (
	"cmp"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
)

// Set is a set of upstreams of one configuration in one process.
type Set struct {
	opts   options
	state  *table.Guarded[setState]
	byName map[string]*Upstream
	all    []*Upstream // in the order of the configuration
}

type setState struct {
	cfg *catalog.Config
}

// ServeAll serves the upstreams of a configuration. If one cannot listen, it closes the others and returns an error.
func ServeAll(cfg *catalog.Config, opts ...Option) (*Set, error) {
	s := &Set{opts: defaultOptions(), byName: map[string]*Upstream{}}
	for _, opt := range opts {
		opt(&s.opts)
	}
	s.state = table.NewGuarded(standin.RankSet, setState{cfg})
	for i := range cfg.Groups {
		g := &cfg.Groups[i]
		for _, svc := range g.Services {
			if err := s.serveService(cfg, g, svc); err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *Set) serveService(cfg *catalog.Config, g *catalog.Group, svc catalog.Service) error {
	for _, server := range svc.Servers {
		if s.opts.zone != "" && server.Zone != s.opts.zone {
			continue
		}
		u := New(ForServer(s.opts.baseSettings, g, server), s.opts.loader(cfg, svc.Name), s.opts.listen(server))
		if err := u.Open(); err != nil {
			return errors.Wrapf(err, "upstream %s", server.Name)
		}
		s.byName[server.Name] = u
		s.all = append(s.all, u)
	}
	return nil
}

// Upstream returns the upstream of that name.
func (s *Set) Upstream(name string) (*Upstream, bool) {
	u, ok := s.byName[name]
	return u, ok
}

// All returns the upstreams in the order of the configuration.
func (s *Set) All() []*Upstream {
	return s.all
}

// UpdateConfig replaces the configuration, and with it the records that the upstreams load. It neither adds,
// removes nor restarts an upstream.
func (s *Set) UpdateConfig(cfg *catalog.Config) {
	s.state.With(func(st *setState) { st.cfg = cfg })
	for _, u := range s.all {
		if server, ok := cfg.Server(u.Name()); ok {
			u.SetLoader(s.opts.loader(cfg, server.Service))
		}
	}
}

// Selection describes a subset of the upstreams; an empty field matches all.
type Selection struct {
	Upstream string
	Service  string
	Group    string
	Zone     string
}

// Select returns the upstreams that match a selection.
func (s *Set) Select(sel Selection) []*Upstream {
	cfg := table.WithResult(s.state, func(st *setState) *catalog.Config { return st.cfg })
	var selected []*Upstream
	for _, u := range s.all {
		server, ok := cfg.Server(u.Name())
		if ok && sel.matches(server) {
			selected = append(selected, u)
		}
	}
	return selected
}

func (sel Selection) matches(server *catalog.Server) bool {
	return cmp.Or(sel.Upstream, server.Name) == server.Name &&
		cmp.Or(sel.Service, server.Service) == server.Service &&
		cmp.Or(sel.Group, server.Group) == server.Group &&
		cmp.Or(sel.Zone, server.Zone) == server.Zone
}

// Counts returns the counts of every upstream.
func (s *Set) Counts() []Counts {
	counts := make([]Counts, 0, len(s.all))
	for _, u := range s.all {
		counts = append(counts, u.Counts())
	}
	return counts
}

// Totals are the summed counts of several upstreams; each maximum is the highest of any one upstream.
type Totals struct {
	Started              int // requests that began to run
	Effects              int // executed operations, without those in Dropped
	Crashes              int // without those in Dropped
	ColdOverloads        int // starts that exceeded the cold-start limit
	ConnectionsOverLimit int // connections closed immediately because of the connection limit
	StartsAfterDrain     int // starts while the upstream was draining or marked as draining
	StartsAfterZoneOut   int // starts while the upstream's zone was drained
	RunningMaximum       int // most requests that ran at a time
	ColdRunningMaximum   int // most requests that ran at a time while the upstream was cold
	ConnectionsMaximum   int // most connections open at a time
	Dropped              int // entries that did not fit in the lists of Counts; see Settings.MaxLogEntries
}

// Totals returns the totals over every upstream.
func (s *Set) Totals() Totals {
	var t Totals
	for _, u := range s.all {
		c := u.Counts()
		t.Started += c.Started
		t.Effects += len(c.Effects)
		t.Crashes += len(c.Crashes)
		t.ColdOverloads += c.ColdOverloads
		t.ConnectionsOverLimit += c.ConnectionsOverLimit
		t.StartsAfterDrain += c.StartsAfterDrain
		t.StartsAfterZoneOut += c.StartsAfterZoneOut
		t.RunningMaximum = max(t.RunningMaximum, c.RunningMaximum)
		t.ColdRunningMaximum = max(t.ColdRunningMaximum, c.ColdRunningMaximum)
		t.ConnectionsMaximum = max(t.ConnectionsMaximum, c.ConnectionsMaximum)
		t.Dropped += c.Dropped
	}
	return t
}

// Close closes every upstream.
func (s *Set) Close() {
	for _, u := range s.all {
		u.Close()
	}
}
