// Package replica keeps what a VM knows of each upstream that it sends requests to directly: whether
// it may get one, how loaded it is and how it has answered.
package replica

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
)

// Load is what an upstream last said of itself.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// Outcome tells how an attempt at a replica ended.
type Outcome uint8

// The endings.
const (
	Succeeded         Outcome = iota + 1 // a good answer
	Failed                               // an error of the upstream, or an answer that cannot be read
	Shed                                 // refused without being run
	ConnectionLost                       // the connection broke with the request on it
	ConnectionRefused                    // no connection could be opened
	Abandoned                            // given up by this VM before it ended
	WrongInstance                        // another upstream has the address
)

// Result is how one attempt ended.
type Result struct {
	Outcome       Outcome
	Elapsed       time.Duration
	MedianLatency time.Duration // median of the attempt's kind of request, by which Elapsed is judged
	Load          *Load         // nil if the upstream did not report any
	// Fingerprint names the request, so that it can be blamed if the upstream turns out to have crashed.
	Fingerprint uint64
}

// Settings are what a VM knows of the tier and its own place in it.
type Settings struct {
	Zone            string
	Regions         map[string]string // region of each zone
	WarmupOvershoot float64           // a cold upstream bears its rate times this
	WarmupSlack     float64           // and this many requests a second more
}

// Table holds the replicas of all services; it is safe for concurrent use.
type Table struct {
	state *table.Guarded[state]
}

// New returns a table without replicas.
func New(s Settings) *Table {
	return &Table{state: table.NewGuarded(table.RankReplica, state{
		settings: s,
		replicas: map[string]*replica{},
		services: map[string][]*replica{},
		zones:    map[string]*contact{},
		members:  1,
	})}
}

// Put adds a replica or replaces what is known of it. A new lifetime or address starts without history.
func (t *Table) Put(now time.Time, s route.Server) {
	t.state.With(func(st *state) { st.put(now, s) })
}

// Remove takes a replica out of service at the time until, and reports whether it was known.
func (t *Table) Remove(now time.Time, id string, until time.Time) bool {
	return table.WithResult(t.state, func(st *state) bool { return st.remove(now, id, until) })
}

// HasReplicas reports whether the service has any replica.
func (t *Table) HasReplicas(service string) bool {
	return table.WithResult(t.state, func(st *state) bool { return len(st.services[service]) > 0 })
}

// SetEvacuated replaces the zones whose replicas get nothing.
func (t *Table) SetEvacuated(zones map[string]bool) {
	t.state.With(func(st *state) { st.evacuated = zones })
}

// SetMemberCount sets the number of VMs that share the limits of each upstream, at least 1.
func (t *Table) SetMemberCount(n int) {
	t.state.With(func(st *state) { st.members = max(n, 1) })
}

// Candidates returns the ids of the service's replicas that may get a request now. Replicas in zones that
// are cut off are among them only for an idempotent request that has others to go to.
func (t *Table) Candidates(now time.Time, service string, regions []string, idempotent bool) []string {
	return table.WithResult(t.state, func(st *state) []string { return st.candidates(now, service, regions, idempotent) })
}

// AnsweredWithin reports whether the replica has answered within the given time.
func (t *Table) AnsweredWithin(now time.Time, id string, within time.Duration) bool {
	return table.WithResult(t.state, func(st *state) bool {
		r, ok := st.replicas[id]
		return ok && !r.answered.IsZero() && now.Sub(r.answered) <= within
	})
}

// Choose returns the candidate that is expected to answer first; candidates are never empty.
func (t *Table) Choose(now time.Time, r *rand.Rand, candidates []string) string {
	return table.WithResult(t.state, func(st *state) string { return st.choose(now, r, candidates) })
}

// StartAttempt counts an attempt at the replica and returns where to send it. It returns false if the replica
// may get nothing any more, or is cold and has had its share of requests for now.
func (t *Table) StartAttempt(now time.Time, id string, service route.Service) (AttemptHandle, bool) {
	return table.WithResults(t.state, func(st *state) (AttemptHandle, bool) { return st.start(now, id, service) })
}

// EndAttempt takes how an attempt ended. It returns the fingerprints of the requests on whose connections the
// upstream has crashed, once that is known: a connection that breaks is no crash, one that is refused
// soon after is.
func (t *Table) EndAttempt(now time.Time, k AttemptHandle, r Result) []uint64 {
	return table.WithResult(t.state, func(st *state) []uint64 { return st.end(now, k, r) })
}

// Stalled reports whether the replica seems to stand still: an attempt at it is overdue by far.
func (t *Table) Stalled(now time.Time, id string) bool {
	return table.WithResult(t.state, func(st *state) bool {
		r, ok := st.replicas[id]
		return ok && r.stalled(now)
	})
}

// Counts are the numbers of replicas in each condition.
type Counts struct {
	Known, Draining, Evacuated, Cold, Ejected int
}

// Counts returns the numbers of replicas in each condition.
func (t *Table) Counts(now time.Time) Counts {
	return table.WithResult(t.state, func(st *state) Counts { return st.counts(now) })
}

// AttemptHandle stands for one attempt at one lifetime of a replica.
type AttemptHandle struct {
	Server   route.Server
	lifetime *replica
	number   uint64
}
