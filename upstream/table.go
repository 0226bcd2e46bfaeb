package upstream

import (
	"maps"
	"slices"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Table holds the state of the upstreams of one VM. It is safe for concurrent use.
type Table[P any] struct {
	state *table.Guarded[state[P]]
}

type state[P any] struct {
	settings  Settings
	cfg       *catalog.Config
	vmsInZone int
	lastTick  time.Time
	nextConn  ConnID
	servers   map[string]*server[P]
	jobs      map[AttemptKey]*server[P] // server of each queued or running job
}

// New returns a table that owns no upstreams. It starts no jobs before the first Tick.
func New[P any](s Settings) *Table[P] {
	return &Table[P]{state: table.NewGuarded(table.RankUpstream, state[P]{
		settings: s,
		nextConn: 1,
		servers:  map[string]*server[P]{},
		jobs:     map[AttemptKey]*server[P]{},
	})}
}

// Configure applies the limits, drained zones and draining upstreams of a configuration and refuses
// queued jobs that must no longer start. A configuration lower than the current one is ignored. The
// connection limit of an upstream is divided among the VMs of its zone, of which there are vmsInZone.
func (t *Table[P]) Configure(now time.Time, cfg *catalog.Config, vmsInZone int) Actions[P] {
	return t.collectActions(func(s *state[P], actions *Actions[P]) { s.configure(now, cfg, vmsInZone, actions) })
}

// Tick records that the VM makes progress. It expires queued jobs, idle connections and attempts of
// unknown outcome, and starts the jobs that may run. After a pause the caller must call
// DropAllOwnership first.
func (t *Table[P]) Tick(now time.Time) Actions[P] {
	return t.collectActions(func(s *state[P], actions *Actions[P]) { s.tick(now, actions) })
}

// Enqueue queues a job for an upstream, or starts or refuses it immediately.
//
// A job whose key is already queued or running is ignored as a duplicate message. Refusing it would
// tell the origin that the first one does not run.
func (t *Table[P]) Enqueue(now time.Time, upstream string, j Job[P]) Actions[P] {
	return t.collectActions(func(s *state[P], actions *Actions[P]) { s.enqueue(now, upstream, j, actions) })
}

// Cancel refuses a queued job as cancelled, or lists a running job in Actions.Cancel. A running job
// still ends with Finish.
func (t *Table[P]) Cancel(now time.Time, k AttemptKey) Actions[P] {
	return t.collectActions(func(s *state[P], actions *Actions[P]) { s.cancel(now, k, actions) })
}

// Finish records the outcome of a started job. It ignores the outcome of a job that is not running on
// that connection.
func (t *Table[P]) Finish(now time.Time, o Outcome) FinishResult[P] {
	var f FinishResult[P]
	t.state.With(func(s *state[P]) { f.SuspectedCrash = s.finish(now, o, &f.Actions) })
	return f
}

// ConnectionLost records that the remote end closed a connection. A job that runs on it still ends
// with Finish.
func (t *Table[P]) ConnectionLost(now time.Time, c ConnRef) Actions[P] {
	return t.collectActions(func(s *state[P], actions *Actions[P]) { s.connectionLost(now, c, actions) })
}

// RunningJobs returns the number of started jobs that have not finished.
func (t *Table[P]) RunningJobs(time.Time) int {
	return table.WithResult(t.state, func(s *state[P]) int {
		n := 0
		for _, u := range s.servers {
			n += len(u.running)
		}
		return n
	})
}

// QueueLength returns the number of jobs queued for an upstream.
func (t *Table[P]) QueueLength(upstream string) int {
	return table.WithResult(t.state, func(s *state[P]) int {
		u, ok := s.servers[upstream]
		if !ok {
			return 0
		}
		return u.queue.Len()
	})
}

// Statuses returns the status of the upstreams that are owned or still have work or connections,
// sorted by name.
func (t *Table[P]) Statuses(now time.Time) []Status {
	return table.WithResult(t.state, func(s *state[P]) []Status {
		var statuses []Status
		for _, u := range s.sortedServers() {
			if u.inUse() {
				statuses = append(statuses, u.status(now))
			}
		}
		return statuses
	})
}

// collectActions calls fn while the state is locked and returns the actions that fn collected.
func (t *Table[P]) collectActions(fn func(s *state[P], actions *Actions[P])) Actions[P] {
	var actions Actions[P]
	t.state.With(func(s *state[P]) { fn(s, &actions) })
	return actions
}

// sortedServers returns the servers in the order of their names.
func (s *state[P]) sortedServers() []*server[P] {
	var servers []*server[P]
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		servers = append(servers, s.servers[name])
	}
	return servers
}

func (s *state[P]) configure(now time.Time, cfg *catalog.Config, vmsInZone int, actions *Actions[P]) {
	if s.cfg != nil && precedes(cfg, s.cfg) {
		return
	}
	s.cfg, s.vmsInZone = cfg, vmsInZone
	for _, u := range s.sortedServers() {
		s.applySpec(u, actions)
		s.releaseJobs(now, u, actions)
	}
}

// precedes reports whether a precedes b in the order of configurations, by revision and then digest.
func precedes(a, b *catalog.Config) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Digest < b.Digest
}

func (s *state[P]) tick(now time.Time, actions *Actions[P]) {
	if now.After(s.lastTick) {
		s.lastTick = now
	}
	for _, u := range s.sortedServers() {
		s.refuseExpired(now, u, actions)
		u.closeIdle(actions, func(c *connection) bool { return now.Sub(c.lastUsed) > s.settings.MaxIdleTime })
		u.expireUnknownWork(now)
		s.releaseJobs(now, u, actions)
		if !u.inUse() && !u.spec.configured {
			delete(s.servers, u.name)
		}
	}
}

func (s *state[P]) cancel(now time.Time, k AttemptKey, actions *Actions[P]) {
	u, ok := s.jobs[k]
	if !ok {
		return
	}
	if a, runs := u.running[k]; runs {
		actions.Cancel = append(actions.Cancel, a.started)
		return
	}
	s.refuse(u, u.queuedByKey[k], result.Cancelled, actions)
	s.releaseJobs(now, u, actions)
}
