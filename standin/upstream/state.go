package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/standin"
	"pistachioshore.dev/wire"
)

// noResponse ends the connection without a response.
const noResponse = 0

// reportStep is the least distance of two remembered reports.
const reportStep = 5 * time.Millisecond

// state decides what runs; it is used under one lock and reads no clock.
type state struct {
	settings Settings
	faults   Faults
	rand     *rand.Rand

	down        bool // between a crash and the end of the restart
	closed      bool
	fell        bool // a crash that the caller still has to carry out
	life        int  // restarts so far
	cold        bool
	coldSince   time.Time
	finished    int // served requests since the start of this incarnation
	executed    int // effects so far
	queue       []*job
	running     map[*job]struct{}
	drainedAt   time.Time
	zoneOutAt   time.Time
	reports     *standin.History[report]
	connections int // at the last arrival

	counts     wire.UpstreamCounts // without its lists
	starts     *standin.BoundedLog[wire.Start]
	turnedAway *standin.BoundedLog[wire.TurnedAway]
	effects    *standin.BoundedLog[wire.Effect]
	crashes    *standin.BoundedLog[wire.Crash]
}

// report is what the health and load endpoints say.
type report struct {
	status string
	load   wire.Load
}

func newState(now time.Time, settings Settings) state {
	s := state{
		settings:   settings,
		rand:       rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(settings.Name))),
		cold:       settings.WarmAfter > 0,
		coldSince:  now,
		running:    map[*job]struct{}{},
		reports:    standin.NewHistory[report](maxReportLag, reportStep),
		starts:     standin.NewBoundedLog[wire.Start](settings.MaxLogEntries),
		turnedAway: standin.NewBoundedLog[wire.TurnedAway](settings.MaxLogEntries),
		effects:    standin.NewBoundedLog[wire.Effect](settings.MaxLogEntries),
		crashes:    standin.NewBoundedLog[wire.Crash](settings.MaxLogEntries),
	}
	s.report(now)
	return s
}

func (s *state) incarnation() string {
	return fmt.Sprintf("%s.%d", s.settings.Incarnation, s.life)
}

func (s *state) isCold(now time.Time) bool {
	warmByTime := s.settings.WarmTime > 0 && now.Sub(s.coldSince) >= s.settings.WarmTime
	if s.cold && (s.finished >= s.settings.WarmAfter || warmByTime) {
		s.cold = false
	}
	return s.cold
}

// holds reports whether the upstream has a version of the records.
func (s *state) holds(version uint64) bool {
	held := s.settings.Snapshots
	if len(s.faults.Snapshots) > 0 {
		held = s.faults.Snapshots
	}
	return len(held) == 0 || slices.Contains(held, version)
}

// arrive takes a job in, or returns the status that refuses it.
func (s *state) arrive(now time.Time, j *job, connections int) (refusal int, accepted bool) {
	s.connections = connections
	s.sweep(now)
	refusal, accepted = s.admit(now, j)
	if !accepted {
		s.turnedAway.Add(wire.TurnedAway{Request: j.request, Attempt: j.attempt, At: now, Status: refusal})
		return refusal, false
	}
	s.queue = append(s.queue, j)
	s.promote(now)
	return 0, true
}

func (s *state) admit(now time.Time, j *job) (refusal int, ok bool) {
	switch {
	case s.down || s.closed:
		return noResponse, false
	case s.faults.Draining, s.faults.ShedShare > 0 && s.rand.Float64() < s.faults.ShedShare:
		return http.StatusServiceUnavailable, false
	case !now.Before(j.deadline):
		return http.StatusRequestTimeout, false
	case j.execute == nil && !s.holds(j.snapshot):
		return http.StatusConflict, false
	case len(s.running) >= s.settings.Slots && len(s.queue) >= s.settings.QueueLimit:
		return http.StatusServiceUnavailable, false
	}
	return 0, true
}

// promote starts waiting jobs while slots are free.
func (s *state) promote(now time.Time) {
	for len(s.running) < s.settings.Slots && len(s.queue) > 0 && !s.down {
		j := s.queue[0]
		s.queue = s.queue[1:]
		switch {
		case !now.Before(j.deadline):
			s.end(now, j, neverBegun)
		case j.execute == nil && !s.holds(j.snapshot):
			s.end(now, j, versionGone)
		default:
			s.start(now, j)
		}
	}
	s.report(now)
}

// start counts the job before any of its work is done.
func (s *state) start(now time.Time, j *job) {
	s.running[j] = struct{}{}
	cold := s.isCold(now)
	s.countStart(now, j, cold)
	j.service = s.serviceTime()
	close(j.started)
	overload := cold && len(s.running) > s.settings.ColdLimit
	if overload {
		s.counts.ColdOverloads++
	}
	if j.contains(s.faults.Poison) {
		s.crash(now, wire.Crash{At: now, Cause: "poison", Request: j.request, Fingerprint: j.fingerprint()})
		return
	}
	if overload && s.faults.CrashOnColdOverload {
		s.crash(now, wire.Crash{At: now, Cause: "fall-over", Request: j.request})
	}
}

func (s *state) countStart(now time.Time, j *job, cold bool) {
	n := len(s.running)
	j.entry = s.starts.Add(wire.Start{
		Request: j.request, Attempt: j.attempt, Operation: j.operation, Shard: j.shard, Snapshot: j.snapshot, At: now,
		Running: n, Cold: cold, Connections: s.connections, Incarnation: s.incarnation(), Outcome: running.String(),
	})
	s.counts.Started++
	s.counts.RunningMaximum = max(s.counts.RunningMaximum, n)
	if cold {
		s.counts.ColdRunningMaximum = max(s.counts.ColdRunningMaximum, n)
	}
	if !s.drainedAt.IsZero() {
		s.counts.StartsAfterDrain++
	}
	if !s.zoneOutAt.IsZero() {
		s.counts.StartsAfterZoneOut++
	}
}

// serviceTime draws from a log-normal distribution whose mean is the service time of the settings.
func (s *state) serviceTime() time.Duration {
	sigma := s.settings.Spread
	factor := math.Exp(sigma*s.rand.NormFloat64() - sigma*sigma/2)
	if s.faults.SlowFactor > 0 {
		factor *= s.faults.SlowFactor
	}
	if s.rand.Float64() < s.faults.StragglerShare && s.faults.StragglerFactor > 0 {
		factor *= s.faults.StragglerFactor
	}
	return time.Duration(factor * float64(s.settings.ServiceTime))
}

// finish ends a job unless it has already ended, starts the next one and returns how the job ended.
func (s *state) finish(now time.Time, j *job, o outcome) outcome {
	s.sweep(now)
	if j.outcome == running {
		s.end(now, j, o)
		s.promote(now)
	}
	return j.outcome
}

// sweep ends running jobs whose deadline has passed, so that a late timer does not count them as running.
func (s *state) sweep(now time.Time) {
	for j := range s.running {
		if !now.Before(j.deadline) {
			s.end(now, j, expired)
		}
	}
}

func (s *state) end(now time.Time, j *job, o outcome) {
	_, ran := s.running[j]
	if !ran && o == expired {
		o = neverBegun
	}
	delete(s.running, j)
	s.queue = slices.DeleteFunc(s.queue, func(q *job) bool { return q == j })
	j.outcome = o
	if ran {
		if e := s.starts.At(j.entry); e != nil {
			e.Outcome, e.Ended = o.String(), &now
		}
	} else {
		s.turnedAway.Add(wire.TurnedAway{Request: j.request, Attempt: j.attempt, At: now, Status: o.status()})
	}
	if o == served {
		s.finished++
		s.effect(now, j)
	}
	close(j.ended)
}

// effect records what an execute changed; the receipt names exactly this record.
func (s *state) effect(now time.Time, j *job) {
	if j.execute == nil {
		return
	}
	s.executed++
	j.receipt = fmt.Sprintf("%s/%s/%d", s.settings.Name, s.incarnation(), s.executed)
	s.effects.Add(wire.Effect{
		Request: j.request, Attempt: j.attempt, Operation: j.operation,
		Key: j.execute.Key, Quantity: j.execute.Quantity, Receipt: j.receipt, At: now,
	})
}

// cancel ends an attempt and reports whether it was waiting or running.
func (s *state) cancel(now time.Time, request string, attempt int) bool {
	for _, j := range s.jobs() {
		if j.request == request && j.attempt == attempt {
			s.end(now, j, cancelled)
			s.promote(now)
			return true
		}
	}
	return false
}

func (s *state) jobs() []*job {
	all := slices.Clone(s.queue)
	for j := range s.running {
		all = append(all, j)
	}
	return all
}

// crash ends everything; the upstream comes back cold with a new incarnation.
func (s *state) crash(now time.Time, c wire.Crash) {
	s.crashes.Add(c)
	s.stop(now)
	s.fell = true
	s.life++ // shows only after the restart, because every connection ends now
	s.finished = 0
	s.cold = s.settings.WarmAfter > 0
}

// stop ends every job and takes no further one in.
func (s *state) stop(now time.Time) {
	s.down = true
	for _, j := range s.jobs() {
		s.end(now, j, crashed)
	}
}

// rise ends a restart.
func (s *state) rise(now time.Time) {
	s.down = false
	s.coldSince = now
	s.report(now)
}

func (s *state) setFaults(now time.Time, f Faults) {
	s.faults = f
	s.drainedAt = since(now, s.drainedAt, f.Draining || f.MarkedDraining)
	s.zoneOutAt = since(now, s.zoneOutAt, f.ZoneDrained)
	s.report(now)
}

// since returns when a condition began to hold, or the zero time if it does not.
func since(now, before time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	default:
		return before
	}
}
