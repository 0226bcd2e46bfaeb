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
	name           string
	owned          bool
	spec           spec
	queue          *table.Queue[Job[P]]
	queuedByKey    map[AttemptKey]*table.Entry[Job[P]]
	running        map[AttemptKey]*attempt[P]
	unknownWork    []unknownWork
	conns          map[ConnID]*connection
	incarnation    string // current incarnation, empty if unknown
	firstNewConn   ConnID // first connection requested after the current incarnation was seen
	warmup         warmup
	serviceTime    movingAverage
	connectRetryAt time.Time // end of the backoff after a refused connection
}

func newServer[P any](name string, sp spec) *server[P] {
	return &server[P]{
		name:        name,
		spec:        sp,
		queue:       table.NewQueue[Job[P]](),
		queuedByKey: map[AttemptKey]*table.Entry[Job[P]]{},
		running:     map[AttemptKey]*attempt[P]{},
		conns:       map[ConnID]*connection{},
	}
}

// inUse reports whether the upstream is owned or still has work or connections.
func (u *server[P]) inUse() bool {
	return u.owned || len(u.running) > 0 || len(u.unknownWork) > 0 || len(u.conns) > 0
}

// limit returns how many requests may run at a time in the current state of the warm-up.
func (u *server[P]) limit() int {
	return u.warmup.limit(u.spec)
}

// status returns the state of the upstream for the status page.
func (u *server[P]) status(now time.Time) Status {
	return Status{
		Name:                u.name,
		Owned:               u.owned,
		Warm:                u.spec.slots > 0 && u.limit() == u.spec.slots,
		Limit:               u.limit(),
		Running:             u.runningTotal(now),
		Queued:              u.queue.Len(),
		Connections:         len(u.conns),
		VerifiedConnections: u.verifiedConns(),
		Incarnation:         u.incarnation,
	}
}

// spec is the configuration of one upstream.
type spec struct {
	configured     bool // present in the configuration
	address        netip.AddrPort
	refusalCode    result.Code // code with which all jobs are refused, zero if they may start
	slots          int
	coldLimit      int
	warmAfter      int
	maxConnections int // maximum number of open connections of this VM
}

// newSpec returns the spec of an upstream. An upstream that is missing from the configuration takes no
// work, like a draining one.
func newSpec(cfg *catalog.Config, name string, vmsInZone int) spec {
	if cfg == nil {
		return spec{refusalCode: result.NotReady}
	}
	server, ok := cfg.Server(name)
	if !ok {
		return spec{refusalCode: result.UpstreamLeaving}
	}
	group, ok := cfg.Group(server.Group)
	if !ok {
		return spec{refusalCode: result.UpstreamLeaving}
	}
	return spec{
		configured:     true,
		address:        server.Address,
		refusalCode:    refusalCode(cfg, server),
		slots:          group.Slots,
		coldLimit:      min(group.ColdLimit, group.Slots),
		warmAfter:      group.WarmAfter,
		maxConnections: connectionShare(group, vmsInZone),
	}
}

// refusalCode returns the code with which jobs for an upstream are refused, or zero if they may start.
func refusalCode(cfg *catalog.Config, server *catalog.Server) result.Code {
	switch {
	case cfg.ZoneDrained(server.Zone):
		return result.ZoneOut
	case server.Leaving:
		return result.UpstreamLeaving
	default:
		return 0
	}
}

// connectionShare returns how many connections this VM may open to an upstream. It divides the limit
// among one VM more than the zone lists, because the list lags behind.
func connectionShare(g *catalog.Group, vmsInZone int) int {
	share := g.MaxConnections / (max(vmsInZone, 0) + 1)
	return max(1, min(share, g.Slots+1))
}

// applySpec applies the current configuration to an upstream.
func (s *state[P]) applySpec(u *server[P], actions *Actions[P]) {
	before := u.spec
	u.spec = newSpec(s.cfg, u.name, s.vmsInZone)
	if before.address.IsValid() && before.address != u.spec.address {
		u.closeAll(actions)
		u.resetIncarnation()
	}
	if u.spec.refusalCode != 0 {
		s.refuseAll(u, u.spec.refusalCode, actions)
		u.closeIdle(actions, func(*connection) bool { return true })
	}
	u.closeExcess(actions)
}
