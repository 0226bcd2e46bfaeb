package upstream

import (
	"maps"
	"slices"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Table keeps the upstreams of one VM; its methods are safe for concurrent use.
type Table[P any] struct {
	state *table.Guarded[state[P]]
}

type state[P any] struct {
	settings  Settings
	cfg       *catalog.Config
	vmsInZone int
	ticked    time.Time
	nextConn  ConnID
	servers   map[string]*server[P]
	jobs      map[AttemptKey]*server[P] // queued and running jobs
}

// New returns a table that owns no upstream; it releases nothing before the first Tick.
func New[P any](s Settings) *Table[P] {
	return &Table[P]{state: table.NewGuarded(table.RankUpstream, state[P]{
		settings: s,
		nextConn: 1,
		servers:  map[string]*server[P]{},
		jobs:     map[AttemptKey]*server[P]{},
	})}
}

// Configure puts limits, drained zones and draining upstreams in force and refuses queued work that
// must not start any more; a lower configuration than the one in force changes nothing.
func (t *Table[P]) Configure(now time.Time, cfg *catalog.Config, vmsInZone int) Actions[P] {
	return t.step(func(s *state[P], step *Actions[P]) { s.configure(now, cfg, vmsInZone, step) })
}

// Tick proves that the VM makes progress, expires queued jobs, idle connections and attempts of
// unknown outcome, and releases what may start; after a pause the caller calls Drop first.
func (t *Table[P]) Tick(now time.Time) Actions[P] {
	return t.step(func(s *state[P], step *Actions[P]) { s.tick(now, step) })
}

// Enqueue queues a job for an upstream, and starts or refuses it at once where that is decided.
//
// A key that is queued or running already is ignored as a repeated message, because a refusal of
// the second would deny that the first runs.
func (t *Table[P]) Enqueue(now time.Time, upstream string, j Job[P]) Actions[P] {
	return t.step(func(s *state[P], step *Actions[P]) { s.enqueue(now, upstream, j, step) })
}

// Cancel refuses a queued job as cancelled and lists a running one in Step.Cancel; the latter still ends with Finish.
func (t *Table[P]) Cancel(now time.Time, k AttemptKey) Actions[P] {
	return t.step(func(s *state[P], step *Actions[P]) { s.cancel(now, k, step) })
}

// Finish records how a started job ended; an outcome of a job that does not run on that connection is ignored.
func (t *Table[P]) Finish(now time.Time, o Outcome) FinishResult[P] {
	var f FinishResult[P]
	t.state.With(func(s *state[P]) { f.SuspectedCrash = s.finish(now, o, &f.Actions) })
	return f
}

// ConnectionLost records that the other end closed a connection; the job on a busy one still ends with Finish.
func (t *Table[P]) ConnectionLost(now time.Time, c ConnRef) Actions[P] {
	return t.step(func(s *state[P], step *Actions[P]) { s.connectionLost(now, c, step) })
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

// Statuses returns the upstreams that are owned or still have work or connections, by name.
func (t *Table[P]) Statuses(now time.Time) []Status {
	return table.WithResult(t.state, func(s *state[P]) []Status {
		var views []Status
		for _, u := range s.sorted() {
			if u.inUse() {
				views = append(views, u.view(now))
			}
		}
		return views
	})
}

func (t *Table[P]) step(fn func(s *state[P], step *Actions[P])) Actions[P] {
	var step Actions[P]
	t.state.With(func(s *state[P]) { fn(s, &step) })
	return step
}

func (s *state[P]) sorted() []*server[P] {
	var servers []*server[P]
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		servers = append(servers, s.servers[name])
	}
	return servers
}

func (s *state[P]) configure(now time.Time, cfg *catalog.Config, vmsInZone int, step *Actions[P]) {
	if s.cfg != nil && lower(cfg, s.cfg) {
		return
	}
	s.cfg, s.vmsInZone = cfg, vmsInZone
	for _, u := range s.sorted() {
		s.respecify(u, step)
		s.release(now, u, step)
	}
}

// lower reports whether a comes before b in the order of configurations.
func lower(a, b *catalog.Config) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Digest < b.Digest
}

func (s *state[P]) tick(now time.Time, step *Actions[P]) {
	if now.After(s.ticked) {
		s.ticked = now
	}
	for _, u := range s.sorted() {
		s.expire(now, u, step)
		u.closeIdle(step, func(c *connection) bool { return now.Sub(c.used) > s.settings.MaxIdleTime })
		u.endUnknown(now)
		s.release(now, u, step)
		if !u.inUse() && !u.spec.listed {
			delete(s.servers, u.name)
		}
	}
}

func (s *state[P]) cancel(now time.Time, k AttemptKey, step *Actions[P]) {
	u, ok := s.jobs[k]
	if !ok {
		return
	}
	if a, runs := u.running[k]; runs {
		step.Cancel = append(step.Cancel, a.start)
		return
	}
	s.refuse(u, u.waiting[k], result.Cancelled, step)
	s.release(now, u, step)
}
