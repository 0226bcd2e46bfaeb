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

// Some failures show only after several thousand runs. The command-line flag overrides this number.
var _ = flag.Set("rapid.checks", "3000")

// TestOwnershipIsExclusive guards against two VMs that own one upstream at the same time, when
// messages are lost or delayed and VMs pause, crash, leave or change their configuration.
func TestOwnershipIsExclusive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTier(rt.Fatalf)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "network"), 0))
		lastDelivery := map[[2]int]time.Time{}
		s.delay = func(from, to int) (time.Duration, bool) {
			pair := [2]int{from, to}
			if rnd.IntN(4) == 0 && s.now.Sub(lastDelivery[pair]) < settings.ReconnectAfter {
				return 0, false
			}
			lastDelivery[pair] = s.now
			return time.Duration(rnd.IntN(5)) * step, true
		}
		s.handover = func() (time.Duration, bool) {
			delays := []time.Duration{0, 0, 1, 2, 4, 20, 70, 200}
			return delays[rnd.IntN(len(delays))] * step, rnd.IntN(6) > 0
		}
		startStoppedVM(rt, s)
		rt.Repeat(map[string]func(*rapid.T){
			"run":       func(rt *rapid.T) { s.run(steps(rt, 100)) },
			"start":     func(rt *rapid.T) { startStoppedVM(rt, s) },
			"configure": func(rt *rapid.T) { configure(rt, s) },
			"kill":      func(rt *rapid.T) { s.kill(drawRunningVM(rt, s)) },
			"pause":     func(rt *rapid.T) { s.pause(drawRunningVM(rt, s), steps(rt, 120)) },
			"leave":     func(rt *rapid.T) { drawRunningVM(rt, s).Leave(s.now) },
			"list":      func(rt *rapid.T) { s.sendList(drawRunningVM(rt, s), drawRunningVM(rt, s).number) },
		})
	})
}

func steps(rt *rapid.T, limit int) time.Duration {
	return time.Duration(rapid.IntRange(1, limit).Draw(rt, "steps")) * step
}

// drawRunningVM returns a running VM that is not paused.
func drawRunningVM(rt *rapid.T, s *tier) *simulatedVM {
	vm := s.vmAt(address(rapid.IntRange(1, 5).Draw(rt, "vm")))
	if vm == nil || vm.resumeAt.After(s.now) {
		rt.Skip("not running")
	}
	return vm
}

// startStoppedVM starts a VM that is not running. VM 5 is in another zone.
func startStoppedVM(rt *rapid.T, s *tier) {
	number := rapid.IntRange(1, 5).Draw(rt, "number")
	if s.vmAt(address(number)) != nil {
		rt.Skip("already running")
	}
	revision := s.revision * rapid.Uint64Range(0, 1).Draw(rt, "configured")
	publish(rt, s, s.startVM(number, "aaaab"[number-1:number], revision))
}

// configure publishes a configuration with other drained VMs, which reaches each VM after its own
// delay.
func configure(rt *rapid.T, s *tier) {
	s.revision++
	for _, number := range rapid.SliceOfN(rapid.IntRange(1, 4), 0, 3).Draw(rt, "out") {
		s.drained[s.revision] = append(s.drained[s.revision], address(number))
	}
	for _, vm := range s.vms {
		publish(rt, s, vm)
	}
}

// publish delivers the newest configuration to a VM after a random delay.
func publish(rt *rapid.T, s *tier, vm *simulatedVM) {
	revision := s.revision
	s.send(vm, steps(rt, 100), func() { s.applyConfig(vm, revision) })
}

// TestScripts guards against broken rules of membership and handover, which the comments in testdata
// state.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleet.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := newTier(t.Fatalf)
		cutPaths := map[[2]int]bool{}
		s.delay = func(from, to int) (time.Duration, bool) { return 0, !cutPaths[[2]int{from, to}] }
		s.handover = func() (time.Duration, bool) { return 0, true }
		for _, command := range strings.Split(d.Input, "; ") {
			runCommand(s, cutPaths, strings.Fields(command))
		}
		return s.log.String()
	})
}

// runCommand runs one command of a script. Most commands take the number of a VM and one more value.
func runCommand(s *tier, cutPaths map[[2]int]bool, args []string) {
	last := args[len(args)-1]
	number, _ := strconv.Atoi(args[1])
	other, _ := strconv.Atoi(last)
	duration, _ := time.ParseDuration(last)
	vm := s.vmAt(address(number))
	map[string]func(){
		"start":    func() { s.startVM(number, last, s.revision) },
		"run":      func() { s.run(duration) },
		"kill":     func() { s.kill(vm) },
		"pause":    func() { s.pause(vm, duration) },
		"leave":    func() { vm.Leave(s.now) },
		"unlist":   func() { s.sendList(vm, other) },
		"announce": func() { vm.SetListed(s.now, []ListedVM{{Address: address(other), Zone: "a"}}) }, // a VM that is not running
		"cut":      func() { cutPaths[[2]int{number, other}], cutPaths[[2]int{other, number}] = true, true },
		"handover": func() {
			vm.ReceiveHandover(s.now, address(other), vm.NextHeartbeat(s.now, 1, 1, true).Term, []string{"u1"})
		},
		"stale": func() {
			vm.ReceiveHandover(s.now, address(other), vm.NextHeartbeat(s.now, 1, 1, true).Term-1, []string{"u1"})
		},
		"expect": func() { vm.handedOver["u1"] = true }, // allows a takeover by handover
		"show": func() {
			fmt.Fprintf(&s.log, "vm%d: %d live, watches=%v, %d hinted,", number, len(vm.RankVMs(1)), vm.WatchesPlatform(), len(vm.reconnectHints))
			for _, p := range vm.Peers(s.now) {
				fmt.Fprintf(&s.log, " %v=%v", p.Address, p.State)
			}
			fmt.Fprintln(&s.log)
		},
	}[args[0]]()
}

const step = 50 * time.Millisecond

var settings = DefaultSettings()

// simulatedVM is one VM of a simulated tier; its number determines its address.
type simulatedVM struct {
	*Table
	number         int
	zone           string
	activeSince    time.Time // start, or end of the last pause long enough for fencing
	resumeAt       time.Time
	revision       uint64
	ownerHeard     map[string]ownerHeartbeat // last heartbeat of an owner, by upstream
	handedOver     map[string]bool           // upstreams with a received handover
	reconnectHints map[netip.AddrPort]time.Time
}

// ownerHeartbeat records the arrival of a heartbeat that its sender sent while it owned an upstream.
type ownerHeartbeat struct {
	from int
	at   time.Time
}

// tier runs the tables of several VMs with simulated time, delivers their messages and checks the
// ownership after every step.
type tier struct {
	now          time.Time
	incarnations uint64
	vms          []*simulatedVM // running or paused
	upstreams    []Upstream
	drained      map[uint64][]netip.AddrPort // by revision
	revision     uint64
	messages     []func() bool // messages in flight; each call reports whether the message has arrived
	log          strings.Builder
	fail         func(format string, args ...any)
	delay        func(from, to int) (time.Duration, bool) // delay of a heartbeat, false if it is lost
	handover     func() (time.Duration, bool)             // delay of a handover, false if it is lost
}

func newTier(fail func(string, ...any)) *tier {
	t := &tier{now: time.Unix(0, 0), fail: fail, revision: 1, drained: map[uint64][]netip.AddrPort{}}
	for _, name := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		t.upstreams = append(t.upstreams, Upstream{Name: name, Zone: "a"})
	}
	return t
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(number)}), 7000)
}

// vmAt returns the running or paused VM at an address, or nil.
func (t *tier) vmAt(addr netip.AddrPort) *simulatedVM {
	for _, vm := range t.vms {
		if address(vm.number) == addr {
			return vm
		}
	}
	return nil
}

// startVM starts a VM and gives it the platform's list.
func (t *tier) startVM(number int, zone string, revision uint64) *simulatedVM {
	t.incarnations++
	self := Self{Address: address(number), Zone: zone, Incarnation: t.incarnations}
	vm := &simulatedVM{Table: New(self, settings, t.now), number: number, zone: zone, activeSince: t.now}
	vm.ownerHeard, vm.handedOver, vm.reconnectHints = map[string]ownerHeartbeat{}, map[string]bool{}, map[netip.AddrPort]time.Time{}
	t.vms = append(t.vms, vm)
	t.applyConfig(vm, revision)
	t.sendList(vm, 0)
	return vm
}

func (t *tier) kill(vm *simulatedVM) {
	t.vms = slices.DeleteFunc(t.vms, func(other *simulatedVM) bool { return other == vm })
}

// sendList gives a VM the platform's list of all VMs except one.
func (t *tier) sendList(vm *simulatedVM, without int) {
	var vms []ListedVM
	for _, listed := range t.vms {
		if listed.number != without {
			vms = append(vms, ListedVM{Address: address(listed.number), Zone: listed.zone})
		}
	}
	vm.SetListed(t.now, vms)
}

// applyConfig applies a newer configuration to a VM.
func (t *tier) applyConfig(vm *simulatedVM, revision uint64) {
	if revision > vm.revision {
		vm.revision = revision
		vm.SetUpstreams(t.now, t.upstreams)
		vm.SetDrained(t.now, t.drained[revision])
	}
}

// pause stops a VM for d.
func (t *tier) pause(vm *simulatedVM, d time.Duration) {
	vm.resumeAt = t.now.Add(d)
	vm.ownerHeard = map[string]ownerHeartbeat{} // heartbeats that it may never pass on
	if d > settings.FenceAfter {
		vm.activeSince = vm.resumeAt
	}
}

// send delivers a message to a VM after the delay, unless the VM is gone by then.
func (t *tier) send(to *simulatedVM, delay time.Duration, deliver func()) {
	due := t.now.Add(step + delay)
	t.messages = append(t.messages, func() bool {
		arrived := !due.After(t.now) && !to.resumeAt.After(t.now)
		if arrived && t.vmAt(address(to.number)) == to {
			deliver()
		}
		return arrived
	})
}

// run advances the time by d. At each step it delivers the due messages and lets the running VMs tick
// and send heartbeats.
func (t *tier) run(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); t.checkOwners() {
		t.now = t.now.Add(step)
		t.messages = slices.DeleteFunc(t.messages, func(arrive func() bool) bool { return arrive() })
		for _, vm := range t.vms {
			turn := int(t.now.UnixNano()/int64(step)) + vm.number
			if turn%2 == 0 && !vm.resumeAt.After(t.now) {
				t.apply(vm, vm.Tick(t.now))
				t.sendHeartbeat(vm, turn%4 == 0)
			}
		}
	}
}

// sendHeartbeat sends a heartbeat of a VM to all others if it is due.
func (t *tier) sendHeartbeat(vm *simulatedVM, due bool) {
	h, owned := vm.NextHeartbeat(t.now, vm.revision, vm.revision, true), vm.Ownerships()
	for _, receiver := range t.vms {
		d, ok := t.delay(vm.number, receiver.number)
		if !due || !ok || receiver == vm {
			continue
		}
		arrival := t.now.Add(step + d)
		t.send(receiver, d, func() {
			receiver.ReceiveHeartbeat(t.now, h)
			for _, o := range owned {
				if o.Acquired && t.now.Equal(arrival) { // otherwise the receiver was paused when it arrived
					receiver.ownerHeard[o.Upstream] = ownerHeartbeat{vm.number, t.now}
				}
			}
		})
	}
}

// apply logs and checks the changes of a tick and sends the handovers.
func (t *tier) apply(vm *simulatedVM, c Changes) {
	for _, peer := range c.ConnectTo {
		if got := t.now.Sub(vm.reconnectHints[peer]); got < settings.ReconnectAfter {
			t.fail("vm%d was told twice to reconnect to %v, %v apart, want at least %v", vm.number, peer, got, settings.ReconnectAfter)
		}
		vm.reconnectHints[peer] = t.now
	}
	var lost []string
	for _, l := range c.Lost {
		lost = append(lost, fmt.Sprintf("%s to %v", l.Upstream, l.Successor))
		d, ok := t.handover()
		if to := t.vmAt(l.Successor); to != nil && ok {
			t.send(to, d, func() {
				to.handedOver[l.Upstream] = true
				to.ReceiveHandover(t.now, address(vm.number), l.Term, []string{l.Upstream})
			})
		}
	}
	for _, name := range c.Acquired {
		t.checkTakeover(vm, name)
	}
	if c.Paused || len(c.Acquired)+len(lost)+len(c.DeadVMs) > 0 {
		at := time.Duration(t.now.UnixNano())
		fmt.Fprintf(&t.log, "%v vm%d paused=%v acquired=%v lost=%v died=%v\n", at, vm.number, c.Paused, c.Acquired, lost, c.DeadVMs)
	}
}

// checkOwners fails if two VMs own the same upstream or if a VM owns one of another zone. A paused VM
// counts until it is fenced.
func (t *tier) checkOwners() {
	for _, u := range t.upstreams {
		owners := slices.DeleteFunc(slices.Clone(t.vms), func(vm *simulatedVM) bool { return !vm.Owns(u.Name) || vm.Fenced(t.now) })
		if len(owners) > 1 || (len(owners) == 1 && owners[0].zone != u.Zone) {
			t.fail("got %d owners of %v, want at most one and of its zone\n%s", len(owners), u, &t.log)
		}
	}
}

// checkTakeover fails if a VM acquired an upstream without a handover before the takeover delay had
// passed since its own start and since any running VM last heard from another owner.
func (t *tier) checkTakeover(vm *simulatedVM, upstream string) {
	since := vm.activeSince
	for _, other := range t.vms {
		if h := other.ownerHeard[upstream]; h.from != vm.number {
			since = latest(since, h.at)
		}
	}
	if got := t.now.Sub(since); !vm.handedOver[upstream] && got < settings.TakeoverDelay {
		t.fail("vm%d took over %s after %v, want %v\n%s", vm.number, upstream, got, settings.TakeoverDelay, &t.log)
	}
	delete(vm.handedOver, upstream)
}
