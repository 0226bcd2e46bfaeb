package forward

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/event"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
)

// load is a day of requests of several kinds to simulated upstreams, played by several VMs in the time of a bubble.
type load struct {
	vms       int
	seed      uint64
	seconds   float64
	kinds     []loadKind
	upstreams []*simUpstream
	mu        sync.Mutex
	ran       map[string]int // executions by request
	waited    uint64         // requests that waited in a VM
}

// loadKind is a route with its requests. A burst has all of its requests within 50 ms of the middle of the load.
type loadKind struct {
	name         string
	priority     int
	perS         float64
	burst        int
	target       time.Duration
	timeout      time.Duration
	work         time.Duration
	coverage     float64 // 0 for an unsharded route
	served, late int     // in time, and after the target
	refused      int
	unknown      int // without an answer and without a refusal
}

// simUpstream serves requests in the order of arrival, and sheds those beyond its queue and a share of the others.
type simUpstream struct {
	id, service  string
	slots, queue int
	shedShare    float64
	rand         *rand.Rand
	running      int
	waiting      []*simAttempt
}

type simAttempt struct {
	load      *load
	upstream  *simUpstream
	a         Attempt
	done      func(AttemptResult)
	cancelled bool
}

// Abandon cancels the attempt.
func (s *simAttempt) Abandon(time.Duration) { s.Cancel() }

// Cancel discards the result. An attempt that has not started leaves the queue.
func (s *simAttempt) Cancel() {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	s.cancelled = true
	s.upstream.waiting = slices.DeleteFunc(s.upstream.waiting, func(o *simAttempt) bool { return o == s })
}

// wayTime is the time from VM to upstream.
const wayTime = 500 * time.Microsecond

// Send has the attempt arrive at its upstream.
func (l *load) Send(a Attempt, done func(AttemptResult)) PendingAttempt {
	i := slices.IndexFunc(l.upstreams, func(u *simUpstream) bool { return u.id == a.Server.ID })
	s := &simAttempt{load: l, upstream: l.upstreams[i], a: a, done: done}
	time.AfterFunc(wayTime, s.arrive)
	return s
}

func (l *load) CheckHealth(route.Server, string, func() bool, func(bool)) {}
func (l *load) Probe(_ route.Server, _ int, _ func(replica.ProbeResult))  {}

func (s *simAttempt) arrive() {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	u := s.upstream
	switch {
	case s.cancelled:
	case u.rand.Float64() < u.shedShare || (u.running >= u.slots && len(u.waiting) >= u.queue):
		s.answer(AttemptResult{Code: result.UpstreamShed, Outcome: replica.Shed})
	default:
		u.waiting = append(u.waiting, s)
		u.startWaiting()
	}
}

// answer sends the result back. The lock of the load must be held.
func (s *simAttempt) answer(res AttemptResult) {
	u := s.upstream
	res.Load = &replica.Load{Running: u.running, Queued: len(u.waiting), Slots: u.slots}
	time.AfterFunc(wayTime, func() {
		s.load.mu.Lock()
		cancelled := s.cancelled
		s.load.mu.Unlock()
		if !cancelled {
			s.done(res)
		}
	})
}

func (u *simUpstream) startWaiting() {
	for u.running < u.slots && len(u.waiting) > 0 {
		s := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.running++
		s.load.ran[s.a.Request.ID]++
		k := s.load.kinds[slices.IndexFunc(s.load.kinds, func(k loadKind) bool { return "/"+k.name+"/" == s.a.Request.Path })]
		time.AfterFunc(time.Duration((0.5+u.rand.Float64())*float64(k.work)), func() {
			s.load.mu.Lock()
			defer s.load.mu.Unlock()
			u.running--
			s.answer(AttemptResult{
				Code: result.Complete, Outcome: replica.Succeeded, Response: &Response{Status: 200, Stamp: u.id},
			})
			u.startWaiting()
		})
	}
}

// parseLoad reads a script: upstreams with ID, service, slots, queue and share shed, and kinds.
func parseLoad(t *testing.T, d *datadriven.TestData) *load {
	l := &load{ran: map[string]int{}}
	d.ScanArgs(t, "vms", &l.vms)
	d.ScanArgs(t, "seed", &l.seed)
	d.ScanArgs(t, "seconds", &l.seconds)
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "upstream":
			u := &simUpstream{id: f[1], service: f[2], rand: rand.New(rand.NewPCG(l.seed, uint64(len(l.upstreams))))}
			fmt.Sscan(strings.Join(f[3:], " "), &u.slots, &u.queue, &u.shedShare)
			l.upstreams = append(l.upstreams, u)
		case "kind":
			k := loadKind{name: f[1]}
			var target, timeout, work int
			fmt.Sscan(strings.Join(f[2:], " "), &k.priority, &k.perS, &k.burst, &target, &timeout, &work, &k.coverage)
			k.target, k.timeout, k.work = time.Duration(target)*time.Millisecond, time.Duration(timeout)*time.Millisecond, time.Duration(work)*time.Millisecond
			l.kinds = append(l.kinds, k)
		}
	}
	return l
}

// play sends the requests of all kinds. Without waiting the VMs behave as if no request ever waited and shed answers
// concerned only the request that got them.
func (l *load) play(t *testing.T, waiting bool) {
	r := rand.New(rand.NewPCG(l.seed, 1))
	var vms []*VM
	for range l.vms {
		vms = append(vms, l.newVM(r, waiting))
	}
	var requests sync.WaitGroup
	for i := range l.kinds {
		k := &l.kinds[i]
		var at []float64
		for s := r.ExpFloat64() / k.perS; k.perS > 0 && s < l.seconds; s += r.ExpFloat64() / k.perS {
			at = append(at, s)
		}
		for range k.burst {
			at = append(at, l.seconds/2+0.05*r.Float64())
		}
		for n, s := range at {
			id, vm := fmt.Sprint(k.name, n), vms[r.IntN(len(vms))]
			requests.Go(func() {
				time.Sleep(time.Duration(s * float64(time.Second)))
				l.serve(t, vm, k, id)
			})
		}
	}
	requests.Wait()
	for _, vm := range vms {
		for _, n := range vm.Stats().Snapshot().Waiting.Waited {
			l.waited += n
		}
		if got := vm.WaitingRequests(); got != [countedPriorities]int{} || (waiting && vm.waits.waiting.Load() != 0) {
			t.Errorf("got %v requests still waiting after the load, want none", got)
		}
		vm.Close()
	}
	time.Sleep(time.Second) // attempts that still run end
}

func (l *load) newVM(r *rand.Rand, waiting bool) *VM {
	cfg, replicas := route.NewStore(), replica.New(replica.Settings{Zone: "a"})
	for i, u := range l.upstreams {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		replicas.Put(time.Now(), route.Server{ID: u.id, Service: u.service, Zone: "a", Slots: u.slots, Address: address})
	}
	var routes []route.Route
	services := map[string]route.Service{}
	for _, u := range l.upstreams {
		services[u.service] = route.Service{Name: u.service}
	}
	for _, k := range l.kinds {
		ro := route.Route{
			Name: k.name, Host: "h", Prefix: "/" + k.name + "/", Idempotent: k.coverage > 0, Timeout: k.timeout, TargetLatency: k.target,
			MaxAttempts: 2, Priority: k.priority, MinCoverage: k.coverage,
		}
		for name := range services {
			if k.coverage > 0 {
				ro.Shards = append(ro.Shards, name)
			} else {
				ro.Targets = []route.Target{{Service: name, Weight: 1}}
			}
		}
		slices.Sort(ro.Shards)
		routes = append(routes, ro)
	}
	cfg.Accept(time.Now(), route.NewConfig(1, routes, slices.Collect(maps.Values(services)), route.Limits{}))
	vm := New(Settings{Zone: "a", RetryRatio: 0.2, RetryBurst: 50, MaxInFlight: 200, Workers: 2}, cfg, replicas, l, event.Discard{})
	seeds := rand.New(rand.NewPCG(l.seed, r.Uint64()))
	var mu sync.Mutex
	vm.seed = func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return seeds.Uint64()
	}
	if !waiting {
		vm.waits = nil
	}
	return vm
}

func (l *load) serve(t *testing.T, vm *VM, k *loadKind, id string) {
	start, path := time.Now(), "/"+k.name+"/"
	req := &Request{ID: id, Target: path, Path: path, Host: "h", ReceivedAt: start, Deadline: start.Add(k.timeout)}
	a := vm.Serve(context.Background(), req)
	elapsed := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.Code.HasAnswer() && elapsed <= k.target:
		k.served++
	case a.Code.HasAnswer():
		k.late++
	case a.Code.Effect() == result.NotRun:
		k.refused++
		if a.RetryAfter <= 0 {
			t.Errorf("%s was refused with %v and no Retry-After", id, a.Code)
		}
		if l.ran[id] > 0 {
			t.Errorf("%s was refused with %v, which says not run, but has run", id, a.Code)
		}
		time.AfterFunc(k.timeout, func() { // what was still on its way
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.ran[id] > 0 {
				t.Errorf("%s ran after it was refused with %v", id, a.Code)
			}
		})
	default:
		k.unknown++
	}
	if late := elapsed - k.timeout; late > 0 {
		t.Errorf("%s was answered %v after its deadline", id, late)
	}
	if k.coverage == 0 && l.ran[id] > 1 {
		t.Errorf("%s ran %d times, want once", id, l.ran[id])
	}
}

// TestOverload plays loads with and without waiting in the VM. It guards against requests that get less than without
// waiting, against kinds of requests that starve, and against refusals that are not true.
func TestOverload(t *testing.T) {
	datadriven.Walk(t, "testdata/overload", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var runs [2]*load
			for i := range runs {
				synctest.Test(t, func(t *testing.T) {
					runs[i] = parseLoad(t, d)
					runs[i].play(t, i == 1)
				})
			}
			var out strings.Builder
			for i, k := range runs[1].kinds {
				without := runs[0].kinds[i]
				total := k.served + k.late + k.refused + k.unknown
				t.Logf("%s: of %d requests: in time %d, without waiting %d; late %d, %d; refused %d, %d; unknown %d, %d",
					k.name, total, k.served, without.served, k.late, without.late, k.refused, without.refused, k.unknown, without.unknown)
				if i == 0 {
					fmt.Fprintf(&out, "requests wait %t\n", runs[1].waited > 0)
				}
				fmt.Fprintf(&out, "%s: in time %s, refused %s, starved %t\n", k.name, compare(k.served, without.served, total),
					compare(k.refused, without.refused, total), float64(k.served+k.late) < 0.02*float64(total))
			}
			return out.String()
		})
	})
}

// compare compares two counts of requests. A difference below 7.5% of the total counts as none, because goroutines that are due at the same time run in any order.
func compare(got, other, total int) string {
	switch diff := float64(got - other); {
	case diff > 0.075*float64(total):
		return "more"
	case diff < -0.075*float64(total):
		return "less"
	default:
		return "alike"
	}
}
