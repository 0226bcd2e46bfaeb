package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// The faults found while this was written took up to some thousand runs; the flag still overrides it.
var _ = flag.Set("rapid.checks", "3000")

// TestOwnershipIsExclusive guards against two VMs that run work of one upstream at the same time.
func TestOwnershipIsExclusive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTier(rt.Fatalf)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "network"), 0))
		passed := map[[2]int]time.Time{}
		s.delay = func(from, to int) (time.Duration, bool) {
			pair := [2]int{from, to}
			if rnd.IntN(4) == 0 && s.now.Sub(passed[pair]) < settings.ReconnectAfter {
				return 0, false
			}
			passed[pair] = s.now
			return time.Duration(rnd.IntN(5)) * step, true
		}
		s.handover = func() (time.Duration, bool) {
			delays := []time.Duration{0, 0, 1, 2, 4, 20, 70, 200}
			return delays[rnd.IntN(len(delays))] * step, rnd.IntN(6) > 0
		}
		startOne(rt, s)
		rt.Repeat(map[string]func(*rapid.T){
			"run":       func(rt *rapid.T) { s.run(steps(rt, 100)) },
			"start":     func(rt *rapid.T) { startOne(rt, s) },
			"configure": func(rt *rapid.T) { configure(rt, s) },
			"kill":      func(rt *rapid.T) { s.kill(draw(rt, s)) },
			"pause":     func(rt *rapid.T) { s.pause(draw(rt, s), steps(rt, 120)) },
			"leave":     func(rt *rapid.T) { draw(rt, s).Leave(s.now) },
			"list":      func(rt *rapid.T) { s.list(draw(rt, s), draw(rt, s).number) },
		})
	})
}

func steps(rt *rapid.T, limit int) time.Duration {
	return time.Duration(rapid.IntRange(1, limit).Draw(rt, "steps")) * step
}

// draw returns a VM that is not paused.
func draw(rt *rapid.T, s *tier) *node {
	n := s.at(address(rapid.IntRange(1, 5).Draw(rt, "vm")))
	if n == nil || n.resume.After(s.now) {
		rt.Skip("does not run")
	}
	return n
}

// startOne starts a VM that is not running; VM 5 is of another zone.
func startOne(rt *rapid.T, s *tier) {
	number := rapid.IntRange(1, 5).Draw(rt, "number")
	if s.at(address(number)) != nil {
		rt.Skip("already running")
	}
	revision := s.revision * rapid.Uint64Range(0, 1).Draw(rt, "configured")
	publish(rt, s, s.boot(number, "aaaab"[number-1:number], revision))
}

// configure publishes another set of drained VMs, which reaches each VM at its own time.
func configure(rt *rapid.T, s *tier) {
	s.revision++
	for _, number := range rapid.SliceOfN(rapid.IntRange(1, 4), 0, 3).Draw(rt, "out") {
		s.out[s.revision] = append(s.out[s.revision], address(number))
	}
	for _, n := range s.nodes {
		publish(rt, s, n)
	}
}

func publish(rt *rapid.T, s *tier, n *node) {
	revision := s.revision
	s.send(n, steps(rt, 100), func() { s.adopt(n, revision) })
}

// TestScripts guards the rules that the comments in testdata state.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleet.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := newTier(t.Fatalf)
		cut := map[[2]int]bool{}
		s.delay = func(from, to int) (time.Duration, bool) { return 0, !cut[[2]int{from, to}] }
		s.handover = func() (time.Duration, bool) { return 0, true }
		for _, command := range strings.Split(d.Input, "; ") {
			do(s, cut, strings.Fields(command))
		}
		return s.log.String()
	})
}

// do runs one command of a script; its arguments are mostly the number of a VM and another value.
func do(s *tier, cut map[[2]int]bool, args []string) {
	last := args[len(args)-1]
	number, _ := strconv.Atoi(args[1])
	other, _ := strconv.Atoi(last)
	length, _ := time.ParseDuration(last)
	n := s.at(address(number))
	map[string]func(){
		"start":    func() { s.boot(number, last, s.revision) },
		"run":      func() { s.run(length) },
		"kill":     func() { s.kill(n) },
		"pause":    func() { s.pause(n, length) },
		"leave":    func() { n.Leave(s.now) },
		"unlist":   func() { s.list(n, other) },
		"announce": func() { n.SetListed(s.now, []ListedVM{{Address: address(other), Zone: "a"}}) }, // does not run
		"cut":      func() { cut[[2]int{number, other}], cut[[2]int{other, number}] = true, true },
		"handover": func() {
			n.ReceiveHandover(s.now, address(other), n.NextHeartbeat(s.now, 1, 1, true).Term, []string{"u1"})
		},
		"stale": func() {
			n.ReceiveHandover(s.now, address(other), n.NextHeartbeat(s.now, 1, 1, true).Term-1, []string{"u1"})
		},
		"expect": func() { n.granted["u1"] = true }, // a handover
		"show": func() {
			fmt.Fprintf(&s.log, "vm%d: %d live, watches=%v, %d hinted,", number, len(n.RankVMs(1)), n.WatchesPlatform(), len(n.hinted))
			for _, p := range n.Peers(s.now) {
				fmt.Fprintf(&s.log, " %v=%v", p.Address, p.State)
			}
			fmt.Fprintln(&s.log)
		},
	}[args[0]]()
}

const step = 50 * time.Millisecond

var settings = DefaultSettings()

// node is one process of a simulated tier; its number gives its address.
type node struct {
	*Table
	number   int
	zone     string
	begun    time.Time // start, or end of the last pause that fences
	resume   time.Time
	revision uint64
	heard    map[string]hearing // by upstream
	granted  map[string]bool    // handovers that arrived
	hinted   map[netip.AddrPort]time.Time
}

// hearing is a heartbeat that its sender sent while it owned an upstream.
type hearing struct {
	from int
	at   time.Time
}

// tier runs the tables of several VMs on fake time, passes their messages on and checks every step.
type tier struct {
	now      time.Time
	started  uint64
	nodes    []*node // running or paused
	ups      []Upstream
	out      map[uint64][]netip.AddrPort // by revision
	revision uint64
	net      []func() bool // messages, which return whether they have arrived
	log      strings.Builder
	fail     func(format string, args ...any)
	delay    func(from, to int) (time.Duration, bool) // of a heartbeat, false if it is lost
	handover func() (time.Duration, bool)
}

func newTier(fail func(string, ...any)) *tier {
	t := &tier{now: time.Unix(0, 0), fail: fail, revision: 1, out: map[uint64][]netip.AddrPort{}}
	for _, name := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		t.ups = append(t.ups, Upstream{Name: name, Zone: "a"})
	}
	return t
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(number)}), 7000)
}

// at returns the node at an address, or nil.
func (t *tier) at(vm netip.AddrPort) *node {
	for _, n := range t.nodes {
		if address(n.number) == vm {
			return n
		}
	}
	return nil
}

func (t *tier) boot(number int, zone string, revision uint64) *node {
	t.started++
	self := Self{Address: address(number), Zone: zone, Incarnation: t.started}
	n := &node{Table: New(self, settings, t.now), number: number, zone: zone, begun: t.now}
	n.heard, n.granted, n.hinted = map[string]hearing{}, map[string]bool{}, map[netip.AddrPort]time.Time{}
	t.nodes = append(t.nodes, n)
	t.adopt(n, revision)
	t.list(n, 0)
	return n
}

func (t *tier) kill(n *node) {
	t.nodes = slices.DeleteFunc(t.nodes, func(m *node) bool { return m == n })
}

// list gives the node a list of all VMs but one.
func (t *tier) list(n *node, without int) {
	var vms []ListedVM
	for _, m := range t.nodes {
		if m.number != without {
			vms = append(vms, ListedVM{Address: address(m.number), Zone: m.zone})
		}
	}
	n.SetListed(t.now, vms)
}

func (t *tier) adopt(n *node, revision uint64) {
	if revision > n.revision {
		n.revision = revision
		n.SetUpstreams(t.now, t.ups)
		n.SetDrained(t.now, t.out[revision])
	}
}

func (t *tier) pause(n *node, d time.Duration) {
	n.resume = t.now.Add(d)
	n.heard = map[string]hearing{} // it may never report them
	if d > settings.FenceAfter {
		n.begun = n.resume
	}
}

func (t *tier) send(to *node, delay time.Duration, deliver func()) {
	due := t.now.Add(step + delay)
	t.net = append(t.net, func() bool {
		arrived := !due.After(t.now) && !to.resume.After(t.now)
		if arrived && t.at(address(to.number)) == to {
			deliver()
		}
		return arrived
	})
}

// run delivers what is due, and lets each running VM tick and send.
func (t *tier) run(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); t.checkOwners() {
		t.now = t.now.Add(step)
		t.net = slices.DeleteFunc(t.net, func(arrive func() bool) bool { return arrive() })
		for _, n := range t.nodes {
			turn := int(t.now.UnixNano()/int64(step)) + n.number
			if turn%2 == 0 && !n.resume.After(t.now) {
				t.apply(n, n.Tick(t.now))
				t.beat(n, turn%4 == 0)
			}
		}
	}
}

func (t *tier) beat(n *node, due bool) {
	h, owned := n.NextHeartbeat(t.now, n.revision, n.revision, true), n.Ownerships()
	for _, m := range t.nodes {
		d, ok := t.delay(n.number, m.number)
		if !due || !ok || m == n {
			continue
		}
		arrival := t.now.Add(step + d)
		t.send(m, d, func() {
			m.ReceiveHeartbeat(t.now, h)
			for _, o := range owned {
				if o.Acquired && t.now.Equal(arrival) { // else it waited for a paused VM
					m.heard[o.Upstream] = hearing{n.number, t.now}
				}
			}
		})
	}
}

// apply logs the changes of a tick, checks them and sends the handovers.
func (t *tier) apply(n *node, c Changes) {
	for _, vm := range c.ConnectTo {
		if got := t.now.Sub(n.hinted[vm]); got < settings.ReconnectAfter {
			t.fail("vm%d got two hints for %v within %v, want %v", n.number, vm, got, settings.ReconnectAfter)
		}
		n.hinted[vm] = t.now
	}
	var lost []string
	for _, l := range c.Lost {
		lost = append(lost, fmt.Sprintf("%s to %v", l.Upstream, l.Successor))
		d, ok := t.handover()
		if to := t.at(l.Successor); to != nil && ok {
			t.send(to, d, func() {
				to.granted[l.Upstream] = true
				to.ReceiveHandover(t.now, address(n.number), l.Term, []string{l.Upstream})
			})
		}
	}
	for _, name := range c.Acquired {
		t.checkTakeover(n, name)
	}
	if c.Paused || len(c.Acquired)+len(lost)+len(c.DeadVMs) > 0 {
		at := time.Duration(t.now.UnixNano())
		fmt.Fprintf(&t.log, "%v vm%d paused=%v acquired=%v lost=%v died=%v\n", at, n.number, c.Paused, c.Acquired, lost, c.DeadVMs)
	}
}

// checkOwners fails if two VMs own an upstream, a paused one included until it is fenced, or a VM of
// another zone does.
func (t *tier) checkOwners() {
	for _, u := range t.ups {
		owners := slices.DeleteFunc(slices.Clone(t.nodes), func(n *node) bool { return !n.Owns(u.Name) || n.Fenced(t.now) })
		if len(owners) > 1 || (len(owners) == 1 && owners[0].zone != u.Zone) {
			t.fail("got %d owners of %v, want at most one and of its zone\n%s", len(owners), u, &t.log)
		}
	}
}

// checkTakeover fails if a VM acquired an upstream without a handover, and less than the takeover delay
// after its own start or after a running VM last heard another owner.
func (t *tier) checkTakeover(n *node, upstream string) {
	since := n.begun
	for _, m := range t.nodes {
		if h := m.heard[upstream]; h.from != n.number {
			since = latest(since, h.at)
		}
	}
	if got := t.now.Sub(since); !n.granted[upstream] && got < settings.TakeoverDelay {
		t.fail("vm%d took over %s after %v, want %v\n%s", n.number, upstream, got, settings.TakeoverDelay, &t.log)
	}
	delete(n.granted, upstream)
}
