package upstream

import (
	"net/netip"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// server is the state of one upstream.
type server[P any] struct {
	name        string
	owned       bool
	spec        spec
	queue       *table.Queue[Job[P]]
	waiting     map[AttemptKey]*table.Entry[Job[P]]
	running     map[AttemptKey]*attempt[P]
	unknown     []unknown
	conns       map[ConnID]*connection
	incarnation string // current incarnation, empty if unknown
	since       ConnID // first connection that was asked for after the current incarnation was shown
	warm        warmup
	service     average
	retryAt     time.Time // end of the back-off after a refused connection
}

func newServer[P any](name string, sp spec) *server[P] {
	return &server[P]{
		name:    name,
		spec:    sp,
		queue:   table.NewQueue[Job[P]](),
		waiting: map[AttemptKey]*table.Entry[Job[P]]{},
		running: map[AttemptKey]*attempt[P]{},
		conns:   map[ConnID]*connection{},
	}
}

// inUse reports whether the upstream is owned or still has work or connections.
func (u *server[P]) inUse() bool {
	return u.owned || len(u.running) > 0 || len(u.unknown) > 0 || len(u.conns) > 0
}

func (u *server[P]) limit() int {
	return u.warm.limit(u.spec)
}

func (u *server[P]) view(now time.Time) Status {
	return Status{
		Name:                u.name,
		Owned:               u.owned,
		Warm:                u.spec.slots > 0 && u.limit() == u.spec.slots,
		Limit:               u.limit(),
		Running:             u.total(now),
		Queued:              u.queue.Len(),
		Connections:         len(u.conns),
		VerifiedConnections: u.verifiedConns(),
		Incarnation:         u.incarnation,
	}
}

// spec is what the configuration says about one upstream.
type spec struct {
	listed      bool // in the configuration
	address     netip.AddrPort
	barred      result.Code // why no work may start, zero if it may
	slots       int
	cold        int
	warmAfter   int
	connections int // that this VM may hold open
}

// newSpec returns the upstream's spec; one that the configuration lacks takes no work, as a draining one.
func newSpec(cfg *catalog.Config, name string, vmsInZone int) spec {
	if cfg == nil {
		return spec{barred: result.NotReady}
	}
	server, ok := cfg.Server(name)
	if !ok {
		return spec{barred: result.UpstreamLeaving}
	}
	group, ok := cfg.Group(server.Group)
	if !ok {
		return spec{barred: result.UpstreamLeaving}
	}
	return spec{
		listed:      true,
		address:     server.Address,
		barred:      bar(cfg, server),
		slots:       group.Slots,
		cold:        min(group.ColdLimit, group.Slots),
		warmAfter:   group.WarmAfter,
		connections: connectionShare(group, vmsInZone),
	}
}

func bar(cfg *catalog.Config, server *catalog.Server) result.Code {
	switch {
	case cfg.ZoneDrained(server.Zone):
		return result.ZoneOut
	case server.Leaving:
		return result.UpstreamLeaving
	default:
		return 0
	}
}

// connectionShare leaves room for one VM more than the zone lists, because the list lags behind.
func connectionShare(g *catalog.Group, vmsInZone int) int {
	share := g.MaxConnections / (max(vmsInZone, 0) + 1)
	return max(1, min(share, g.Slots+1))
}

// respecify applies the configuration in force to an upstream.
func (s *state[P]) respecify(u *server[P], step *Actions[P]) {
	before := u.spec
	u.spec = newSpec(s.cfg, u.name, s.vmsInZone)
	if before.address.IsValid() && before.address != u.spec.address {
		u.retire(step)
		u.forget()
	}
	if u.spec.barred != 0 {
		s.refuseAll(u, u.spec.barred, step)
		u.closeIdle(step, func(*connection) bool { return true })
	}
	u.trim(step)
}
