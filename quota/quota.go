// Package quota keeps the requests of each team within its quota, over all VMs of a tier together.
//
// Each VM admits requests by a token bucket of its own for each team, without asking another VM. VMs exchange the numbers
// of requests that they have admitted, and each charges the requests of all others to its bucket as well. A bucket may
// go into debt, which is paid before further requests are admitted, so that over time all VMs together admit no more than
// the quota; what several VMs admit before they hear of one another is bounded by the demand within the exchange's
// delay.
//
// A large tier exchanges numbers through its aggregators. A VM reports to one of them, which adds up what its VMs have
// admitted, exchanges the sums with the other aggregators, and tells its VMs the level of each bucket that is running low.
package quota

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"pistachioshore.dev/table"
	"pistachioshore.dev/team"
)

// Settings are the tolerances that the platform allows in the enforcement of quotas.
type Settings struct {
	Overshoot float64 // fraction by which the requests in a window may exceed a quota
	Slack     float64 // further requests in a window
}

const (
	// overshootUse and slackUse are the fractions of the tolerances by which a VM's buckets exceed a quota, so that
	// requests within it are not refused because of the exchange's delay. The rest covers what VMs admit before they
	// hear of one another.
	overshootUse = 0.4
	slackUse     = 0.5

	// lowLevel and recoveredLevel are the fractions of a bucket's burst below which an aggregator begins, and above which
	// it ceases, to tell its VMs the level.
	lowLevel       = 0.5
	recoveredLevel = 0.8

	// minRetryAfter and maxRetryAfter bound the time after which a refused request may return.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// maxSources bounds the other VMs whose numbers are remembered, and maxBuckets the teams, against other VMs that send
	// numbers without end.
	maxSources = 1 << 14
	maxBuckets = 2 * team.MaxTeams
)

// Usage is the number of requests of a team that a VM, or an aggregator's VMs, have admitted since the start of its process.
type Usage struct {
	Team     string
	Admitted uint64
}

// Level is the number of tokens in a team's bucket; negative for a debt.
type Level struct {
	Team   string
	Tokens float64
}

// Table holds the buckets of one VM. It is safe for concurrent use.
type Table struct {
	settings Settings
	state    *table.Guarded[state]
}

type state struct {
	buckets map[string]*bucket
	sources map[netip.AddrPort]*source
	visible float64  // fraction of the tier that this VM exchanges numbers with
	changed []string // teams with requests that were not yet reported
}

// bucket is the token bucket of a team.
type bucket struct {
	name       string
	quota      team.Quota
	tokens     float64
	refilledAt time.Time
	admitted   uint64 // requests admitted by this VM, and by the VMs that report to it
	unreported bool   // admitted has changed since the last report
	low        bool   // the level is told to the VMs that report to this one
}

// source is what another VM has reported.
type source struct {
	incarnation uint64
	admitted    map[string]uint64
}

// New returns a table without requests.
func New(s Settings) *Table {
	return &Table{settings: s, state: table.NewGuarded(table.RankBudget, state{
		buckets: map[string]*bucket{}, sources: map[netip.AddrPort]*source{}, visible: 1,
	})}
}

// SetVisible sets the fraction of the tier, from 0 to 1, that this VM exchanges numbers with. It admits only that fraction
// of each quota, because VMs that it does not hear may admit the rest.
func (t *Table) SetVisible(fraction float64) {
	t.state.With(func(s *state) { s.visible = min(max(fraction, 0), 1) })
}

// Visible returns the fraction set by SetVisible.
func (t *Table) Visible() float64 {
	return table.WithResult(t.state, func(s *state) float64 { return s.visible })
}

// Admit reports whether a request of the team may run now, and counts it if so. Otherwise it returns when the client may
// try again.
func (t *Table) Admit(now time.Time, name string, q team.Quota) (ok bool, retryAfter time.Duration) {
	if !q.Limited() {
		return true, 0
	}
	t.state.With(func(s *state) {
		b := s.bucket(now, t.settings, name, q)
		if b == nil {
			retryAfter = maxRetryAfter
			return
		}
		b.refill(now, t.settings, s.visible)
		if b.tokens < 1 {
			retryAfter = b.retryAfter(t.settings, s.visible)
			return
		}
		b.tokens--
		s.count(b, 1)
		ok = true
	})
	return ok, retryAfter
}

// Return takes back the token of a request that was admitted but has certainly not run. Other VMs may have been told of it
// already, and keep it charged.
func (t *Table) Return(now time.Time, name string) {
	t.state.With(func(s *state) {
		if b := s.buckets[name]; b != nil {
			b.refill(now, t.settings, s.visible)
			b.tokens = min(b.tokens+1, b.capacity(t.settings, s.visible))
		}
	})
}

// bucket returns the bucket of a team, with its present quota. It returns nil if there are too many teams.
func (s *state) bucket(now time.Time, settings Settings, name string, q team.Quota) *bucket {
	b, ok := s.buckets[name]
	if !ok {
		if len(s.buckets) >= maxBuckets {
			return nil
		}
		b = &bucket{name: name, quota: q, refilledAt: now}
		b.tokens = b.startLevel(settings, s.visible)
		s.buckets[name] = b
	}
	if b.quota != q {
		b.refill(now, settings, s.visible)
		b.quota = q
		b.tokens = min(b.tokens, b.capacity(settings, s.visible))
	}
	return b
}

// count adds admitted requests to what is reported.
func (s *state) count(b *bucket, n uint64) {
	b.admitted += n
	if !b.unreported {
		b.unreported = true
		s.changed = append(s.changed, b.name)
	}
}

// rate returns the tokens that a VM which sees the given fraction of the tier adds in a second.
func (b *bucket) rate(s Settings, visible float64) float64 {
	return b.quota.Rate * (1 + s.Overshoot*overshootUse) * visible
}

// capacity returns the largest number of tokens. A VM that sees little of the tier may still admit a single request.
func (b *bucket) capacity(s Settings, visible float64) float64 {
	return max((b.quota.Burst+s.Slack*slackUse)*visible, 1)
}

// startLevel returns the tokens of a new bucket. It is below the capacity, because a process that starts does not know what
// was admitted just before.
func (b *bucket) startLevel(s Settings, visible float64) float64 {
	return max(b.capacity(s, visible)/2, 1)
}

func (b *bucket) refill(now time.Time, s Settings, visible float64) {
	elapsed := max(now.Sub(b.refilledAt), 0)
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed.Seconds()*b.rate(s, visible), b.capacity(s, visible))
}

// retryAfter returns the time until the bucket holds a token.
func (b *bucket) retryAfter(s Settings, visible float64) time.Duration {
	rate := b.rate(s, visible)
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := math.Min((1-b.tokens)/rate, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// Report is a message in which a VM states what it has admitted.
type Report struct {
	Incarnation uint64 // of the sender's process
	Usage       []Usage
	Full        bool // Usage holds all teams; otherwise only those with new requests
	Reset       bool // earlier numbers of this process were reported to another VM, and Usage must not be charged
	Forward     bool // the sender reports to this VM alone, which reports its numbers further
}

// Receive charges the requests that another VM reports, with the quotas of the teams, and reports whether anything was new.
// The first report of a process to this VM only sets the baseline, because this VM does not know when the requests ran;
// it has to be a full one, and others are ignored until then.
func (t *Table) Receive(now time.Time, from netip.AddrPort, r Report, quotaOf func(name string) team.Quota) bool {
	return table.WithResult(t.state, func(s *state) bool {
		src, known := s.sources[from]
		known = known && src.incarnation == r.Incarnation && !r.Reset
		if !known {
			if !r.Full {
				return false
			}
			src = s.newSource(from, r.Incarnation)
		}
		changed := false
		for _, u := range r.Usage {
			last, ok := src.admitted[u.Team]
			if (!ok && len(src.admitted) >= maxBuckets) || u.Admitted <= last {
				continue
			}
			src.admitted[u.Team] = u.Admitted
			if known {
				s.charge(now, t.settings, u.Team, quotaOf(u.Team), u.Admitted-last, r.Forward)
				changed = true
			}
		}
		return changed
	})
}

func (s *state) newSource(from netip.AddrPort, incarnation uint64) *source {
	if len(s.sources) >= maxSources {
		clear(s.sources)
	}
	src := &source{incarnation: incarnation, admitted: map[string]uint64{}}
	s.sources[from] = src
	return src
}

// charge takes the tokens of requests that other VMs have admitted.
func (s *state) charge(now time.Time, settings Settings, name string, q team.Quota, n uint64, forward bool) {
	if !q.Limited() {
		return // this VM does not know the team yet, or it has no quota
	}
	b := s.bucket(now, settings, name, q)
	if b == nil {
		return
	}
	b.refill(now, settings, s.visible)
	b.tokens = max(b.tokens-float64(n), -b.maxDebt(settings))
	if forward {
		s.count(b, n)
	}
}

// maxDebt bounds the debt of a bucket to what a window of a few seconds can bring about, so that a wrong report does not
// lock a team out.
func (b *bucket) maxDebt(s Settings) float64 {
	return maxDebtTime.Seconds()*b.quota.Rate + b.quota.Burst + s.Slack
}

// maxDebtTime is the time that it takes to pay the largest debt.
const maxDebtTime = 5 * time.Second

// Changes returns the numbers that have changed since the last call.
func (t *Table) Changes() []Usage {
	return table.WithResult(t.state, func(s *state) []Usage {
		list := make([]Usage, 0, len(s.changed))
		for _, name := range s.changed {
			b := s.buckets[name]
			b.unreported = false
			list = append(list, Usage{name, b.admitted})
		}
		s.changed = nil
		return list
	})
}

// Totals returns all numbers, for a VM that gets its first report.
func (t *Table) Totals() []Usage {
	return table.WithResult(t.state, func(s *state) []Usage {
		var list []Usage
		for _, b := range s.buckets {
			if b.admitted > 0 {
				list = append(list, Usage{b.name, b.admitted})
			}
		}
		slices.SortFunc(list, func(a, b Usage) int { return cmp.Compare(a.Team, b.Team) })
		return list
	})
}

// Levels returns the levels to tell the VMs that report to this one: those of buckets that run low, and once more those that
// have recovered.
func (t *Table) Levels(now time.Time) []Level {
	return table.WithResult(t.state, func(s *state) []Level {
		var list []Level
		for _, b := range s.buckets {
			if !b.quota.Limited() {
				continue
			}
			b.refill(now, t.settings, s.visible)
			limit := b.capacity(t.settings, s.visible)
			wasLow := b.low
			switch {
			case b.tokens < lowLevel*limit:
				b.low = true
			case b.tokens >= recoveredLevel*limit:
				b.low = false
			}
			if b.low || wasLow {
				list = append(list, Level{b.name, b.tokens})
			}
		}
		slices.SortFunc(list, func(a, b Level) int { return cmp.Compare(a.Team, b.Team) })
		return list
	})
}

// ApplyLevels sets the buckets to the levels that an aggregator tells this VM, which reports to it.
func (t *Table) ApplyLevels(now time.Time, levels []Level, quotaOf func(name string) team.Quota) {
	t.state.With(func(s *state) {
		for _, l := range levels {
			q := quotaOf(l.Team)
			if math.IsNaN(l.Tokens) || !q.Limited() {
				continue
			}
			if b := s.bucket(now, t.settings, l.Team, q); b != nil {
				b.refill(now, t.settings, s.visible)
				b.tokens = min(max(l.Tokens, -b.maxDebt(t.settings)), b.capacity(t.settings, s.visible))
			}
		}
	})
}

// Counts are the numbers of teams by the state of their buckets.
type Counts struct {
	Teams, Low, Exhausted int
}

// Counts returns the numbers of teams that have sent requests, of those whose bucket runs low, and of those whose requests
// are refused at the moment.
func (t *Table) Counts(now time.Time) Counts {
	return table.WithResult(t.state, func(s *state) Counts {
		var c Counts
		for _, b := range s.buckets {
			if !b.quota.Limited() {
				continue
			}
			b.refill(now, t.settings, s.visible)
			c.Teams++
			switch {
			case b.tokens < 1:
				c.Exhausted++
			case b.tokens < lowLevel*b.capacity(t.settings, s.visible):
				c.Low++
			}
		}
		return c
	})
}
