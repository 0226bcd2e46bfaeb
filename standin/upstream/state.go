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

// noResponse stands in place of an HTTP status where the connection is closed without a response.
const noResponse = 0

// minReportInterval is the minimum time between two reports that are kept.
const minReportInterval = 5 * time.Millisecond

// state decides which jobs run. The caller holds its lock and passes the time.
type state struct {
	settings Settings
	faults   Faults
	rand     *rand.Rand

	down            bool // from a crash to the end of the restart, and once closed
	closed          bool
	crashPending    bool // a crash whose connections the caller still has to close
	restartCount    int  // number of restarts
	cold            bool
	coldSince       time.Time
	finishedCount   int // requests served by this incarnation
	effectCount     int // number of effects, including those of earlier incarnations
	queue           []*job
	running         map[*job]struct{}
	drainedAt       time.Time
	zoneDrainedAt   time.Time
	reports         *standin.History[report]
	openConnections int // open when the last request arrived

	counts     wire.UpstreamCounts // its lists are kept in the logs below
	starts     *standin.BoundedLog[wire.Start]
	turnedAway *standin.BoundedLog[wire.TurnedAway]
	effects    *standin.BoundedLog[wire.Effect]
	crashes    *standin.BoundedLog[wire.Crash]
}

// report is what the health and load endpoints return.
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
		reports:    standin.NewHistory[report](maxReportLag, minReportInterval),
		starts:     standin.NewBoundedLog[wire.Start](settings.MaxLogEntries),
		turnedAway: standin.NewBoundedLog[wire.TurnedAway](settings.MaxLogEntries),
		effects:    standin.NewBoundedLog[wire.Effect](settings.MaxLogEntries),
		crashes:    standin.NewBoundedLog[wire.Crash](settings.MaxLogEntries),
	}
	s.recordReport(now)
	return s
}

func (s *state) incarnation() string {
	return fmt.Sprintf("%s.%d", s.settings.Incarnation, s.restartCount)
}

func (s *state) isCold(now time.Time) bool {
	warmByTime := s.settings.WarmTime > 0 && now.Sub(s.coldSince) >= s.settings.WarmTime
	if s.cold && (s.finishedCount >= s.settings.WarmAfter || warmByTime) {
		s.cold = false
	}
	return s.cold
}

// hasSnapshot reports whether the upstream has a snapshot version.
func (s *state) hasSnapshot(version uint64) bool {
	available := s.settings.Snapshots
	if len(s.faults.Snapshots) > 0 {
		available = s.faults.Snapshots
	}
	return len(available) == 0 || slices.Contains(available, version)
}

// enqueue queues a job, or returns the status with which it is refused.
func (s *state) enqueue(now time.Time, j *job, connections int) (refusal int, accepted bool) {
	s.openConnections = connections
	s.expireJobs(now)
	refusal, accepted = s.admit(now, j)
	if !accepted {
		s.turnedAway.Add(wire.TurnedAway{Request: j.requestID, Attempt: j.attempt, At: now, Status: refusal})
		return refusal, false
	}
	s.queue = append(s.queue, j)
	s.startQueued(now)
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
	case j.execute == nil && !s.hasSnapshot(j.snapshot):
		return http.StatusConflict, false
	case len(s.running) >= s.settings.Slots && len(s.queue) >= s.settings.QueueLimit:
		return http.StatusServiceUnavailable, false
	}
	return 0, true
}

// startQueued starts queued jobs while slots are free.
func (s *state) startQueued(now time.Time) {
	for len(s.running) < s.settings.Slots && len(s.queue) > 0 && !s.down {
		j := s.queue[0]
		s.queue = s.queue[1:]
		switch {
		case !now.Before(j.deadline):
			s.end(now, j, notStarted)
		case j.execute == nil && !s.hasSnapshot(j.snapshot):
			s.end(now, j, snapshotGone)
		default:
			s.start(now, j)
		}
	}
	s.recordReport(now)
}

// start runs a job. It counts the start first, so that a job that crashes the upstream is counted too.
func (s *state) start(now time.Time, j *job) {
	s.running[j] = struct{}{}
	cold := s.isCold(now)
	s.recordStart(now, j, cold)
	j.serviceTime = s.serviceTime()
	close(j.started)
	overload := cold && len(s.running) > s.settings.ColdLimit
	if overload {
		s.counts.ColdOverloads++
	}
	if j.contains(s.faults.Poison) {
		s.crash(now, wire.Crash{At: now, Cause: "poison", Request: j.requestID, Fingerprint: j.fingerprint()})
		return
	}
	if overload && s.faults.CrashOnColdOverload {
		s.crash(now, wire.Crash{At: now, Cause: "fall-over", Request: j.requestID})
	}
}

func (s *state) recordStart(now time.Time, j *job, cold bool) {
	n := len(s.running)
	j.startIndex = s.starts.Add(wire.Start{
		Request: j.requestID, Attempt: j.attempt, Operation: j.operation, Shard: j.shard, Snapshot: j.snapshot, At: now,
		Running: n, Cold: cold, Connections: s.openConnections, Incarnation: s.incarnation(), Outcome: running.String(),
	})
	s.counts.Started++
	s.counts.RunningMaximum = max(s.counts.RunningMaximum, n)
	if cold {
		s.counts.ColdRunningMaximum = max(s.counts.ColdRunningMaximum, n)
	}
	if !s.drainedAt.IsZero() {
		s.counts.StartsAfterDrain++
	}
	if !s.zoneDrainedAt.IsZero() {
		s.counts.StartsAfterZoneOut++
	}
}

// serviceTime draws from a log-normal distribution whose mean is Settings.ServiceTime, and applies the faults.
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

// finish ends a job unless it has already ended, starts the next one and returns the job's outcome.
func (s *state) finish(now time.Time, j *job, o outcome) outcome {
	s.expireJobs(now)
	if j.outcome == running {
		s.end(now, j, o)
		s.startQueued(now)
	}
	return j.outcome
}

// expireJobs ends running jobs whose deadline has passed. Otherwise a late timer would leave them counted as running.
func (s *state) expireJobs(now time.Time) {
	for j := range s.running {
		if !now.Before(j.deadline) {
			s.end(now, j, expired)
		}
	}
}

func (s *state) end(now time.Time, j *job, o outcome) {
	_, ran := s.running[j]
	if !ran && o == expired {
		o = notStarted
	}
	delete(s.running, j)
	s.queue = slices.DeleteFunc(s.queue, func(q *job) bool { return q == j })
	j.outcome = o
	if ran {
		if e := s.starts.At(j.startIndex); e != nil {
			e.Outcome, e.Ended = o.String(), &now
		}
	} else {
		s.turnedAway.Add(wire.TurnedAway{Request: j.requestID, Attempt: j.attempt, At: now, Status: o.status()})
	}
	if o == served {
		s.finishedCount++
		s.recordEffect(now, j)
	}
	close(j.ended)
}

// recordEffect records what an execute changed, under a receipt that no other effect has.
func (s *state) recordEffect(now time.Time, j *job) {
	if j.execute == nil {
		return
	}
	s.effectCount++
	j.receipt = fmt.Sprintf("%s/%s/%d", s.settings.Name, s.incarnation(), s.effectCount)
	s.effects.Add(wire.Effect{
		Request: j.requestID, Attempt: j.attempt, Operation: j.operation,
		Key: j.execute.Key, Quantity: j.execute.Quantity, Receipt: j.receipt, At: now,
	})
}

// cancel ends an attempt and reports whether it was queued or running.
func (s *state) cancel(now time.Time, requestID string, attempt int) bool {
	for _, j := range s.jobs() {
		if j.requestID == requestID && j.attempt == attempt {
			s.end(now, j, cancelled)
			s.startQueued(now)
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

// crash ends every job; the upstream restarts cold with a new incarnation.
func (s *state) crash(now time.Time, c wire.Crash) {
	s.crashes.Add(c)
	s.stop(now)
	s.crashPending = true
	s.restartCount++ // clients see the new incarnation only after the restart, because every connection is closed now
	s.finishedCount = 0
	s.cold = s.settings.WarmAfter > 0
}

// stop ends every job and refuses new ones.
func (s *state) stop(now time.Time) {
	s.down = true
	for _, j := range s.jobs() {
		s.end(now, j, crashed)
	}
}

// finishRestart accepts jobs again and starts the cold period.
func (s *state) finishRestart(now time.Time) {
	s.down = false
	s.coldSince = now
	s.recordReport(now)
}

func (s *state) setFaults(now time.Time, f Faults) {
	s.faults = f
	s.drainedAt = conditionSince(now, s.drainedAt, f.Draining || f.MarkedDraining)
	s.zoneDrainedAt = conditionSince(now, s.zoneDrainedAt, f.ZoneDrained)
	s.recordReport(now)
}

// conditionSince returns when a condition became true, or the zero time if it is false.
func conditionSince(now, previous time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case previous.IsZero():
		return now
	default:
		return previous
	}
}
