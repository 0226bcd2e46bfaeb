package member

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/freshness"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/quota"
	"pistachioshore.dev/table"
	"pistachioshore.dev/team"
	"pistachioshore.dev/wire"
)

// TeamState is what a VM knows about the teams and the age of its configuration.
type TeamState interface {
	// Teams returns the teams of the configuration in force, or nil if requests need no API key.
	Teams() *team.Directory
	// ConfigCursor returns the revision of the latest change of the configuration that this VM knows, with the era of the
	// store that it belongs to, or false if it does not know the whole configuration yet.
	ConfigCursor() (era, cursor uint64, ok bool)
	// Following reports whether the VM takes the platform's state from other VMs.
	Following() bool
	// BootClock returns the reading of the VM's boot clock.
	BootClock() time.Duration
}

const (
	// usageBatch is the time for which admitted requests are collected before they are reported.
	usageBatch = 50 * time.Millisecond

	// usageTimeout is the time without a report from a VM that exchanges numbers with this one, after which it counts as
	// out of sight. Reports come at least at every tick.
	usageTimeout = 1500 * time.Millisecond

	// localTargetTimeout and remoteTargetTimeout are the times without a heartbeat after which a VM reports to another
	// aggregator than one in its own zone, or in another one. They tolerate one late heartbeat: those from other zones come
	// every two seconds.
	localTargetTimeout  = 2500 * time.Millisecond
	remoteTargetTimeout = 4500 * time.Millisecond

	// heardRetention is the time for which the last report of a VM is remembered.
	heardRetention = time.Minute
)

// teamExchange is what a VM exchanges with others about teams: the numbers of requests that count against quotas, and the
// proofs that no withdrawn API key is in use.
type teamExchange struct {
	source    TeamState
	freshness *freshness.Table
	quotas    *quota.Table
	wake      chan struct{}
	asking    atomic.Bool // a question that NotifyUnconfirmed wants is to be sent
	state     *table.Guarded[teamExchangeState]
}

type teamExchangeState struct {
	target netip.AddrPort               // aggregator that this VM reported to last
	heard  map[netip.AddrPort]time.Time // last report of each VM
	met    map[netip.AddrPort]bool      // VMs that have got a full report since their connection was opened
}

// SetTeams makes the VM exchange with others what it knows about the teams. It must be called before Run.
func (m *Member) SetTeams(source TeamState, f *freshness.Table, q *quota.Table) {
	m.teams = &teamExchange{
		source: source, freshness: f, quotas: q, wake: make(chan struct{}, 1),
		state: table.NewGuarded(table.RankShutdown, teamExchangeState{heard: map[netip.AddrPort]time.Time{}, met: map[netip.AddrPort]bool{}}),
	}
}

// NotifyAdmitted makes the VM report admitted requests soon. It does not block.
func (m *Member) NotifyAdmitted() {
	select {
	case m.teams.wake <- struct{}{}:
	default: // a report is due already
	}
}

// NotifyUnconfirmed makes the VM ask another one for a proof at once. It does not block.
func (m *Member) NotifyUnconfirmed() {
	if m.teams.asking.Swap(true) {
		return
	}
	m.worker.Submit(func() {
		m.teams.asking.Store(false)
		m.askFreshness(time.Now())
	})
}

// runUsage reports admitted requests until ctx ends.
func (m *Member) runUsage(ctx context.Context) {
	for {
		select {
		case <-m.teams.wake:
		case <-ctx.Done():
			return
		}
		if !pool.Sleep(ctx, usageBatch) {
			return
		}
		m.worker.Submit(func() { m.sendUsage(time.Now()) })
	}
}

// tickTeams renews the proof, and keeps the other VMs informed that this one is in sight.
func (m *Member) tickTeams(now time.Time) {
	if m.teams == nil || m.teams.source.Teams() == nil {
		return
	}
	m.askFreshness(now)
	m.teams.state.With(func(s *teamExchangeState) {
		maps.DeleteFunc(s.heard, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= heardRetention })
	})
	m.teams.quotas.SetVisible(m.visibleFraction(now))
	m.sendUsage(now)
}

// handleTeamMessage handles a message about teams. It returns false for other messages.
func (m *Member) handleTeamMessage(now time.Time, from netip.AddrPort, e *wire.Envelope) bool {
	switch {
	case e.FreshnessQuestion != nil:
		m.answerFreshness(from, e.FreshnessQuestion.Sequence)
	case e.FreshnessAnswer != nil:
		m.handleFreshnessAnswer(e.FreshnessAnswer)
	case e.UsageReport != nil:
		m.handleUsage(now, from, e.UsageReport)
	case e.QuotaLevels != nil:
		m.handleLevels(now, e.QuotaLevels)
	default:
		return false
	}
	return true
}

// askFreshness asks another VM for a proof if this one needs one.
func (m *Member) askFreshness(now time.Time) {
	if m.teams == nil || !m.teams.freshness.Required() || m.teams.source.Teams() == nil {
		return
	}
	candidates := m.freshnessSources(now)
	sequence, i, ok := m.teams.freshness.Ask(m.teams.source.BootClock(), m.teams.source.Following(), len(candidates))
	if ok {
		m.peers.Send(candidates[i], &wire.Envelope{Kind: codec.KindFreshnessQuestion, FreshnessQuestion: &wire.FreshnessQuestion{Sequence: sequence}})
	}
}

// freshnessSources returns the VMs to ask for a proof, in order of preference: the primary aggregator, the other aggregators
// and, in a small tier, all VMs.
func (m *Member) freshnessSources(now time.Time) []netip.AddrPort {
	connected := m.connectedVMs()
	aggregators := m.members.Aggregators(now)
	if len(aggregators) == 0 {
		return connected
	}
	sources := slices.DeleteFunc(connected, func(vm netip.AddrPort) bool { return !aggregator.Contains(aggregators, vm) })
	if primary, ok := m.members.PrimaryAggregator(now, m.self); ok {
		slices.SortStableFunc(sources, func(a, b netip.AddrPort) int {
			switch {
			case a == primary && b != primary:
				return -1
			case b == primary && a != primary:
				return 1
			}
			return 0
		})
	}
	return sources
}

// answerFreshness tells another VM the age of this one's proof. Without a proof there is no answer, so that the other VM turns
// to the next one.
func (m *Member) answerFreshness(to netip.AddrPort, sequence uint64) {
	if m.teams == nil {
		return
	}
	age, proved := m.teams.freshness.Age(m.teams.source.BootClock())
	era, cursor, listed := m.teams.source.ConfigCursor()
	if !proved || !listed {
		return
	}
	m.peers.Send(to, &wire.Envelope{Kind: codec.KindFreshnessAnswer, FreshnessAnswer: &wire.FreshnessAnswer{Sequence: sequence, Age: age, Era: era, Cursor: cursor}})
}

func (m *Member) handleFreshnessAnswer(a *wire.FreshnessAnswer) {
	if m.teams == nil {
		return
	}
	era, cursor, listed := m.teams.source.ConfigCursor()
	m.teams.freshness.Answer(a.Sequence, a.Age, listed && era == a.Era && cursor >= a.Cursor) // revisions of different eras cannot be compared
}

// handleUsage charges the requests that another VM has admitted, and reports them further if need be.
func (m *Member) handleUsage(now time.Time, from netip.AddrPort, r *wire.UsageReport) {
	if m.teams == nil {
		return
	}
	m.teams.state.With(func(s *teamExchangeState) { s.heard[from] = now })
	report := quota.Report{Incarnation: r.Incarnation, Full: r.Full, Reset: r.Reset, Forward: r.Forward}
	for _, u := range r.Usage {
		report.Usage = append(report.Usage, quota.Usage{Team: u.Team, Admitted: u.Admitted})
	}
	if m.teams.quotas.Receive(now, from, report, m.quotaOf()) {
		m.NotifyAdmitted()
	}
}

// quotaOf returns a function that looks up the quota of a team.
func (m *Member) quotaOf() func(name string) team.Quota {
	teams := m.teams.source.Teams()
	return func(name string) team.Quota {
		if teams == nil {
			return team.Quota{}
		}
		if t := teams.Named(name); t != nil {
			return t.Quota
		}
		return team.Quota{}
	}
}

func (m *Member) handleLevels(now time.Time, l *wire.QuotaLevels) {
	if m.teams == nil {
		return
	}
	levels := make([]quota.Level, 0, len(l.Levels))
	for _, level := range l.Levels {
		levels = append(levels, quota.Level{Team: level.Team, Tokens: level.Tokens})
	}
	m.teams.quotas.ApplyLevels(now, levels, m.quotaOf())
}

// sendUsage reports admitted requests: in a small tier to all VMs, in a large one from the aggregators to one another, and
// from the other VMs to one aggregator each.
func (m *Member) sendUsage(now time.Time) {
	if m.teams == nil || m.teams.source.Teams() == nil {
		return
	}
	aggregators := m.members.Aggregators(now)
	if len(aggregators) > 0 && !aggregator.Contains(aggregators, m.self.Address) {
		m.reportToAggregator(now)
		return
	}
	peers := slices.DeleteFunc(m.connectedVMs(), func(vm netip.AddrPort) bool {
		return len(aggregators) > 0 && !aggregator.Contains(aggregators, vm)
	})
	changes := m.teams.quotas.Changes()
	for _, vm := range peers {
		m.sendReportOf(vm, changes, m.meet(vm), false, false)
	}
	if len(aggregators) > 0 {
		m.sendLevels(now)
	}
}

// reportToAggregator reports the requests that this VM has admitted to the aggregator in charge of it.
func (m *Member) reportToAggregator(now time.Time) {
	target, ok := m.reportTarget(now)
	if !ok {
		return // the numbers are reported in full once there is one
	}
	isNew := false
	m.teams.state.With(func(s *teamExchangeState) {
		isNew = s.target != target
		s.target = target
	})
	first := m.meet(target)
	changes := m.teams.quotas.Changes()
	if len(changes) > 0 || first || isNew {
		m.sendReportOf(target, changes, first || isNew, isNew, true)
	}
}

// reportTarget returns the aggregator that this VM reports to: its primary one, or another one of which there are
// heartbeats.
func (m *Member) reportTarget(now time.Time) (netip.AddrPort, bool) {
	for _, vm := range m.freshnessSources(now) {
		timeout := localTargetTimeout
		if m.isRemote(vm) {
			timeout = remoteTargetTimeout
		}
		if now.Sub(m.members.LastSeen(vm)) < timeout {
			return vm, true
		}
	}
	return netip.AddrPort{}, false
}

// meet reports whether a VM has got no full report yet since the connection to it was opened, and notes that it gets one.
func (m *Member) meet(vm netip.AddrPort) bool {
	first := false
	m.teams.state.With(func(s *teamExchangeState) {
		first = !s.met[vm]
		s.met[vm] = true
	})
	return first
}

// forgetMet makes the next report to a VM a full one. A report that has not arrived may have been one that resets the baseline
// there, so that the next one does so again.
func (m *Member) forgetMet(vm netip.AddrPort) {
	if m.teams == nil {
		return
	}
	m.teams.state.With(func(s *teamExchangeState) {
		delete(s.met, vm)
		if s.target == vm {
			s.target = netip.AddrPort{}
		}
	})
}

func (m *Member) sendReportOf(to netip.AddrPort, changes []quota.Usage, full, reset, forward bool) {
	if full {
		changes = m.teams.quotas.Totals()
	}
	r := &wire.UsageReport{Incarnation: m.incarnation, Full: full, Reset: reset, Forward: forward, Usage: make([]wire.TeamUsage, 0, len(changes))}
	for _, u := range changes {
		r.Usage = append(r.Usage, wire.TeamUsage{Team: u.Team, Admitted: u.Admitted})
	}
	if !m.peers.Send(to, &wire.Envelope{Kind: codec.KindUsageReport, UsageReport: r}) {
		m.forgetMet(to)
	}
}

// sendLevels tells the VMs that report to this aggregator which teams have little left of their quota.
func (m *Member) sendLevels(now time.Time) {
	levels := m.teams.quotas.Levels(now)
	if len(levels) == 0 {
		return
	}
	out := &wire.QuotaLevels{Levels: make([]wire.TeamLevel, 0, len(levels))}
	for _, l := range levels {
		out.Levels = append(out.Levels, wire.TeamLevel{Team: l.Team, Tokens: l.Tokens})
	}
	m.peers.SendAll(m.members.Followers(now), &wire.Envelope{Kind: codec.KindQuotaLevels, QuotaLevels: out})
}

// visibleFraction returns the fraction of the tier that this VM exchanges numbers with. An aggregator stands for the VMs of
// its zone.
func (m *Member) visibleFraction(now time.Time) float64 {
	aggregators := m.members.Aggregators(now)
	total := max(m.members.Count(now), 1)
	if len(aggregators) > 0 && !aggregator.Contains(aggregators, m.self.Address) {
		if _, ok := m.reportTarget(now); ok {
			return 1 // the aggregator tells the levels
		}
		return 1 / float64(total)
	}
	heard := func(vm netip.AddrPort) bool {
		at := table.WithResult(m.teams.state, func(s *teamExchangeState) time.Time { return s.heard[vm] })
		return now.Sub(at) < usageTimeout
	}
	visible := 1
	if len(aggregators) == 0 {
		for _, vm := range m.connectedVMs() {
			if heard(vm) {
				visible++
			}
		}
		return float64(min(visible, total)) / float64(total)
	}
	members := m.members.MembersByZone(now)
	visible = members[m.self.Zone]
	seen := map[string]bool{m.self.Zone: true}
	for _, a := range aggregators {
		if !seen[a.Zone] && heard(a.Address) {
			seen[a.Zone] = true
			visible += members[a.Zone]
		}
	}
	return float64(min(visible, total)) / float64(total)
}
