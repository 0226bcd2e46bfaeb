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
	// Slowdown is how long work takes on its host at the moment, 1 for as usual; 0 if the upstream does not say.
	Slowdown float64
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
	Outcome Outcome
	Elapsed time.Duration // time since the start of the attempt
	Load    *Load         // nil if the upstream did not report any
	// ShedWindow is the time for which a shed answer counts against the upstream; 0 if it does not. It depends on the
	// latency that callers need.
	ShedWindow time.Duration
	// Fingerprint identifies the request, so that it can be reported if the upstream turns out to have crashed.
	Fingerprint uint64
}

// AttemptEnd is what the end of an attempt shows.
type AttemptEnd struct {
	// Crashed holds the fingerprints of the requests that may have caused a crash, if the upstream has crashed.
	Crashed []uint64
	// Work is the work of the request by the time that it took, without waiting and slowdown: a lower bound if the attempt
	// was given up, 0 if it is not known.
	Work time.Duration
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

// Choose returns the candidate that is expected to finish a request with the given expected work first, or one that is
// expected to finish it almost as early. The candidates must not be empty. A work of 0 is not known.
func (t *Table) Choose(now time.Time, r *rand.Rand, candidates []string, work time.Duration) string {
	var id string
	t.state.With(func(st *state) { id = st.choose(now, r, candidates, work) })
	return id
}

// StartAttempt registers an attempt with the given expected work at the replica. It returns false if the replica no longer
// accepts requests, or if it is cold or has named a request limit and this VM has used up its share of the allowed rate.
func (t *Table) StartAttempt(now time.Time, id string, service route.Service, share LimitShare, work time.Duration) (AttemptHandle, bool) {
	return table.WithResults(t.state, func(st *state) (AttemptHandle, bool) { return st.startAttempt(now, id, service, share, work) })
}

// MayBeSent reports whether the replica of an attempt that has not been sent yet still accepts requests. It does not if it
// has been replaced by a later start. An attempt that has taken no token, because the upstream has named its request limit
// since, takes one now.
func (t *Table) MayBeSent(now time.Time, h AttemptHandle) bool {
	return table.WithResult(t.state, func(st *state) bool { return st.mayBeSent(now, h) })
}

// EndAttempt records the result of an attempt and returns what it shows. A lost connection alone is not taken for a
// crash, but a refused connection soon after it is.
func (t *Table) EndAttempt(now time.Time, h AttemptHandle, r Result) AttemptEnd {
	return table.WithResult(t.state, func(st *state) AttemptEnd { return st.endAttempt(now, h, r) })
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

	Distrusted int // upstreams whose reports attempts have contradicted
	Slowed     int // upstreams that report that work takes longer than usual
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
	// untokenedShare is this VM's share of a request limit, if the upstream had named none when the attempt began; else 0.
	untokenedShare float64
}
