// Package replica tracks the upstreams that a VM sends requests to directly: whether they accept requests, how
// loaded they are and how their attempts have ended. It chooses the replica for each attempt.
package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
)

// Load is the load that an upstream last reported.
type Load struct {
	Running int // requests that it runs
	Queued  int // requests that wait for a slot
	Slots   int // requests that it can run concurrently
}

// Outcome is the way in which an attempt at a replica ended.
type Outcome uint8

// Outcomes of an attempt at a replica.
const (
	Succeeded         Outcome = iota + 1 // the upstream returned a valid answer
	Failed                               // the upstream returned an error or a response that cannot be read
	Shed                                 // the upstream shed the request without running it
	ConnectionLost                       // the connection was lost with the request in flight
	ConnectionRefused                    // no connection could be opened
	Abandoned                            // this VM gave up the attempt before it ended
	WrongInstance                        // another upstream has taken over the address
)

// Result is the result of one attempt.
type Result struct {
	Outcome       Outcome
	Elapsed       time.Duration // time since the start of the attempt
	MedianLatency time.Duration // median latency of this kind of request, which Elapsed is compared to
	Load          *Load         // nil if the upstream did not report any
	// Fingerprint identifies the request, so that it can be reported if the upstream turns out to have crashed.
	Fingerprint uint64
}

// Settings describe the zones of the tier and the limits for cold upstreams.
type Settings struct {
	Zone            string            // zone of this VM
	Regions         map[string]string // region of each zone
	WarmupOvershoot float64           // factor on the request rate allowed to a cold upstream
	WarmupSlack     float64           // requests per second added to that rate
}

// Table holds the replicas of all services. It is safe for concurrent use.
type Table struct {
	state *table.Guarded[state]
}

// New returns a table without replicas.
func New(s Settings) *Table {
	return &Table{state: table.NewGuarded(table.RankReplica, state{
		settings:    s,
		replicas:    map[string]*replica{},
		services:    map[string][]*replica{},
		zones:       map[string]*zoneHealth{},
		memberCount: 1,
		notices:     newNotices(),
	})}
}

// Put adds or updates a replica. The statistics are reset if the start time, address or service changes.
func (t *Table) Put(now time.Time, s route.Server) {
	t.state.With(func(st *state) { st.put(now, s) })
}

// Remove schedules the removal of a replica for the time until, or removes it at once if that time has come. It reports
// whether the replica was known.
func (t *Table) Remove(now time.Time, id string, until time.Time) bool {
	return table.WithResult(t.state, func(st *state) bool { return st.remove(now, id, until) })
}

// ExtendRemoval postpones the removal of a replica that is scheduled for removal and has not been removed yet.
func (t *Table) ExtendRemoval(now time.Time, id string, until time.Time) {
	t.state.With(func(st *state) { st.extendRemoval(now, id, until) })
}

// HasReplicas reports whether the service has any replica.
func (t *Table) HasReplicas(service string) bool {
	return table.WithResult(t.state, func(st *state) bool { return len(st.services[service]) > 0 })
}

// UsableZones returns, for each of the services, the zones with a replica that may receive a request now and is neither
// ejected nor in a zone that does not answer.
func (t *Table) UsableZones(now time.Time, services, regions []string) [][]string {
	return table.WithResult(t.state, func(st *state) [][]string {
		zones := make([][]string, len(services))
		for i, service := range services {
			for _, r := range st.services[service] {
				zone := r.server.Zone
				if st.eligible(now, r, regions) && !now.Before(r.ejectedUntil) && !st.unreachable(now, zone) && !slices.Contains(zones[i], zone) {
					zones[i] = append(zones[i], zone)
				}
			}
		}
		return zones
	})
}

// SetEvacuated replaces the set of evacuated zones, whose replicas receive no requests.
func (t *Table) SetEvacuated(zones map[string]bool) {
	t.state.With(func(st *state) { st.evacuated = zones })
}

// SetMemberCount sets the number of VMs that share the limits of each upstream. Values below 1 count as 1.
func (t *Table) SetMemberCount(n int) {
	t.state.With(func(st *state) { st.memberCount = max(n, 1) })
}

// Candidates returns the IDs of the service's replicas that may receive a request now. Replicas in unreachable
// zones are included only if the request is idempotent and there are other candidates.
func (t *Table) Candidates(now time.Time, service string, regions []string, idempotent bool) []string {
	return table.WithResult(t.state, func(st *state) []string { return st.candidates(now, service, regions, idempotent) })
}

// AnsweredWithin reports whether the replica has answered a request within the given time.
func (t *Table) AnsweredWithin(now time.Time, id string, within time.Duration) bool {
	return table.WithResult(t.state, func(st *state) bool {
		r, ok := st.replicas[id]
		return ok && !r.answeredAt.IsZero() && now.Sub(r.answeredAt) <= within
	})
}

// Choose returns the candidate that is expected to respond first. The candidates must not be empty.
func (t *Table) Choose(now time.Time, r *rand.Rand, candidates []string) string {
	return table.WithResult(t.state, func(st *state) string { return st.choose(now, r, candidates) })
}

// StartAttempt registers an attempt at the replica. It returns false if the replica no longer accepts requests,
// or if it is cold or has named a request limit and this VM has used up its share of the allowed rate.
func (t *Table) StartAttempt(now time.Time, id string, service route.Service, share LimitShare) (AttemptHandle, bool) {
	return table.WithResults(t.state, func(st *state) (AttemptHandle, bool) { return st.startAttempt(now, id, service, share) })
}

// EndAttempt records the result of an attempt. If it shows that the upstream has crashed, EndAttempt returns the
// fingerprints of the requests that may have caused the crash. A lost connection alone is not taken for a crash,
// but a refused connection soon after it is.
func (t *Table) EndAttempt(now time.Time, h AttemptHandle, r Result) []uint64 {
	return table.WithResult(t.state, func(st *state) []uint64 { return st.endAttempt(now, h, r) })
}

// Stalled reports whether the replica seems to hang, because its oldest attempt is long overdue.
func (t *Table) Stalled(now time.Time, id string) bool {
	return table.WithResult(t.state, func(st *state) bool {
		r, ok := st.replicas[id]
		return ok && r.stalled(now)
	})
}

// Counts are the numbers of all known replicas and of those in each condition. A replica may be in several conditions.
type Counts struct {
	Known, Draining, Resting, Limited, Evacuated, Cold, Ejected int
}

// Counts returns the numbers of replicas by condition.
func (t *Table) Counts(now time.Time) Counts {
	return table.WithResult(t.state, func(st *state) Counts { return st.counts(now) })
}

// AttemptHandle identifies an attempt at a replica between StartAttempt and EndAttempt.
type AttemptHandle struct {
	Server  route.Server // the upstream, as it was listed at the start
	replica *replica
	number  uint64
}
