package quota_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/quota"
	"pistachioshore.dev/team"
)

var start = time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)

// Tolerances and window of the platform, and the delay between VMs with the batching of reports.
const (
	window        = 5 * time.Second
	overshoot     = 0.25
	slack         = 20
	exchangeDelay = 100 * time.Millisecond
	step          = 10 * time.Millisecond
	noticeTime    = 2 * time.Second // from a cut until VMs know that they do not hear others
	teamName      = "salon"
)

// zones is the number of availability zones of a tier.
const zones = 3

// tier plays VMs that admit the requests of one team. In a large tier the first VMs of each zone are the aggregators.
type tier struct {
	vms         []*quota.Table
	aggregators int // of each zone; 0 in a small tier, where each VM reports to all others
	quota       team.Quota
	cut         bool // the last zone is cut off from the others
	admitted    []time.Time
	refused     int
	asked       int
}

func newTier(vms, aggregators int, q team.Quota) *tier {
	p := &tier{aggregators: aggregators, quota: q}
	for range vms {
		p.vms = append(p.vms, quota.New(quota.Settings{Overshoot: overshoot, Slack: slack}))
	}
	for i := range p.vms {
		for j := range p.vms {
			if p.reports(i, j) {
				p.vms[j].Receive(start, address(i), quota.Report{Full: true}, p.quotaOf)
			}
		}
	}
	return p
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
}

func (p *tier) quotaOf(string) team.Quota { return p.quota }

// zone returns the zone of a VM and its position there.
func (p *tier) zone(i int) (zone, position int) {
	size := (len(p.vms) + zones - 1) / zones
	return i / size, i % size
}

// reports tells whether VM i reports to VM j.
func (p *tier) reports(i, j int) bool {
	zone, position := p.zone(i)
	otherZone, otherPosition := p.zone(j)
	switch {
	case i == j || (p.cut && (zone == zones-1) != (otherZone == zones-1)):
		return false
	case position < p.aggregators || p.aggregators == 0:
		return otherPosition < p.aggregators || p.aggregators == 0
	default:
		return zone == otherZone && otherPosition == position%p.aggregators
	}
}

// isAggregator tells whether other VMs report to this one in a large tier.
func (p *tier) isAggregator(i int) bool {
	_, position := p.zone(i)
	return position < p.aggregators
}

// exchange carries the reports and levels of all VMs.
func (p *tier) exchange(now time.Time) {
	for i := len(p.vms) - 1; i >= 0; i-- { // followers before the aggregators of their zone
		r := quota.Report{Usage: p.vms[i].Changes(), Forward: p.aggregators > 0 && !p.isAggregator(i)}
		for j := range p.vms {
			if len(r.Usage) > 0 && p.reports(i, j) {
				p.vms[j].Receive(now, address(i), r, p.quotaOf)
			}
		}
	}
	for i := range p.vms {
		if !p.isAggregator(i) {
			continue
		}
		levels := p.vms[i].Levels(now)
		for j := range p.vms {
			if !p.isAggregator(j) && p.reports(j, i) {
				p.vms[j].ApplyLevels(now, levels, p.quotaOf)
			}
		}
	}
}

// isolate cuts off the last zone. Each side uses the fraction of the quota that belongs to it, once it has noticed.
func (p *tier) isolate() {
	p.cut = true
}

// noticeCut sets the fractions of the VMs that exchange numbers. The others follow their aggregators.
func (p *tier) noticeCut() {
	for i, vm := range p.vms {
		if zone, _ := p.zone(i); p.aggregators == 0 || p.isAggregator(i) {
			fraction := 1.0 / zones
			if zone < zones-1 {
				fraction = 1 - fraction
			}
			vm.SetVisible(fraction)
		}
	}
}

// restart replaces all VMs by new processes.
func (p *tier) restart() {
	fresh := newTier(len(p.vms), p.aggregators, p.quota)
	p.vms = fresh.vms
}

// most returns the largest number of admitted requests in any window.
func (p *tier) most() int {
	most, first := 0, 0
	for i, at := range p.admitted {
		for at.Sub(p.admitted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTier guards against a team that gets more than its quota, summed over the VMs of tiers of several sizes, and against
// requests within the quota that are refused: with demand on one, a few or all VMs, in a partition, after a restart of all.
// The script states what each load may do; a bound that does not hold shows as "exceeded".
func TestTier(t *testing.T) {
	datadriven.RunTest(t, "testdata/tier.txt", func(t *testing.T, d *datadriven.TestData) string {
		var vms, aggregators, on, seconds, cutAt, restartAt int
		var rate, burst, demand string
		d.ScanArgs(t, "vms", &vms)
		d.ScanArgs(t, "rate", &rate)
		d.ScanArgs(t, "burst", &burst)
		d.ScanArgs(t, "demand", &demand)
		d.ScanArgs(t, "on", &on)
		d.ScanArgs(t, "seconds", &seconds)
		d.MaybeScanArgs(t, "aggregators", &aggregators)
		d.MaybeScanArgs(t, "cut-at", &cutAt)
		d.MaybeScanArgs(t, "restart-at", &restartAt)
		var q team.Quota
		var perSecond float64
		fmt.Sscan(rate, &q.Rate)
		fmt.Sscan(burst, &q.Burst)
		fmt.Sscan(demand, &perSecond)
		p := newTier(vms, aggregators, q)
		rnd := rand.New(rand.NewPCG(1, 2))
		for elapsed := time.Duration(0); elapsed < time.Duration(seconds)*time.Second; elapsed += step {
			now := start.Add(elapsed)
			if cutAt > 0 && elapsed == time.Duration(cutAt)*time.Second {
				p.isolate()
			}
			if cutAt > 0 && elapsed == time.Duration(cutAt)*time.Second+noticeTime {
				p.noticeCut()
			}
			if restartAt > 0 && elapsed == time.Duration(restartAt)*time.Second {
				p.restart()
			}
			for n := poisson(rnd, perSecond*step.Seconds()); n > 0; n-- {
				p.ask(now, rnd.IntN(on)*vms/on)
			}
			if elapsed%exchangeDelay == 0 {
				p.exchange(now)
			}
		}
		limit := int((q.Rate*window.Seconds()+q.Burst)*(1+overshoot)) + slack
		verdict := "within"
		if p.most() > limit {
			verdict = fmt.Sprintf("exceeded by %d:", p.most()-limit)
		}
		refused := "under 1%"
		if share := float64(p.refused) / float64(p.asked); share >= 0.01 {
			refused = fmt.Sprintf("about %d0%%", int(share*10+0.5))
		}
		return fmt.Sprintf("%s the bound of %d in a window, refused %s\n", verdict, limit, refused)
	})
}

func (p *tier) ask(now time.Time, vm int) {
	p.asked++
	if ok, _ := p.vms[vm].Admit(now, teamName, p.quota); ok {
		p.admitted = append(p.admitted, now)
	} else {
		p.refused++
	}
}

// poisson returns a Poisson-distributed number with a small mean.
func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for t := rnd.ExpFloat64(); t < mean; t += rnd.ExpFloat64() {
		n++
	}
	return n
}

// ExampleTable_Admit shows a team whose quota is used up, and when its client may return.
func ExampleTable_Admit() {
	t := quota.New(quota.Settings{})
	q := team.Quota{Rate: 2, Burst: 2}
	for range 2 {
		ok, retry := t.Admit(start, "salon", q)
		fmt.Println(ok, retry)
	}
	// Output:
	// true 0s
	// false 500ms
}

// TestReports guards against requests that are charged twice or not at all when a VM reports late, again, after a restart of
// its process, or to another VM.
func TestReports(t *testing.T) {
	datadriven.RunTest(t, "testdata/reports.txt", func(_ *testing.T, d *datadriven.TestData) string {
		tab := quota.New(quota.Settings{})
		q := team.Quota{Rate: 1, Burst: 100}
		out := ""
		for _, line := range splitLines(d.Input) {
			var command string
			var r quota.Report
			var u quota.Usage
			u.Team = teamName
			fmt.Sscan(line, &command, &r.Incarnation, &u.Admitted)
			r.Usage = []quota.Usage{u}
			r.Full, r.Reset, r.Forward = command != "report", command == "reset", command == "forwarded"
			if command == "forwarded" {
				r.Full = false
			}
			isNew := tab.Receive(start, address(2), r, func(string) team.Quota { return q })
			out += fmt.Sprintf("%s: new %t, reports further %v\n", line, isNew, tab.Changes())
		}
		for _, l := range tab.Levels(start) {
			out += fmt.Sprintf("level %.0f\n", l.Tokens)
		}
		return out
	})
}

func splitLines(text string) []string {
	return strings.Split(strings.TrimSpace(text), "\n")
}
