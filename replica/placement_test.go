package replica_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/route"
	"pistachioshore.dev/workload"
)

const slots = 3

// placer places the requests of one VM.
type placer interface {
	choose(now time.Time, r *rand.Rand, ids []string, c workload.Class) string
	start(now time.Time, id string, c workload.Class) (end func(now time.Time, l replica.Load))
}

// current places by the table.
type current struct {
	table *replica.Table
	work  *workload.Estimator
}

func (p current) choose(now time.Time, r *rand.Rand, ids []string, c workload.Class) string {
	return p.table.Choose(now, r, ids, p.work.Expect(c))
}

func (p current) start(now time.Time, id string, c workload.Class) func(time.Time, replica.Load) {
	h, _ := p.table.StartAttempt(now, id, route.Service{}, replica.LimitShare{}, p.work.Expect(c))
	return func(end time.Time, l replica.Load) {
		res := replica.Result{Outcome: replica.Succeeded, Elapsed: end.Sub(now), Load: &l}
		p.work.Observe(end, c, p.table.EndAttempt(end, h, res).Work)
	}
}

// previous places by the cost function before expected work, which counts requests and knows neither their work nor the
// slowdown: slowness x (1 + requests/slots), plus the age of an overdue attempt.
type previous struct {
	latency  *balancer.LatencyEstimator
	replicas map[string]*previousReplica
}

type previousReplica struct {
	slowness               float64
	median                 time.Duration
	observedAt, reportedAt time.Time
	load                   replica.Load
	pending                []time.Time
}

func (r *previousReplica) decayed(now time.Time) float64 {
	return 1 + (r.slowness-1)*math.Exp(-now.Sub(r.observedAt).Seconds()/3)
}

func (r *previousReplica) cost(now time.Time) float64 {
	running := float64(len(r.pending))
	if now.Sub(r.reportedAt) < 300*time.Millisecond {
		running = max(running, float64(r.load.Running+r.load.Queued))
	}
	cost := r.decayed(now) * (1 + running/slots)
	if len(r.pending) > 0 {
		age := now.Sub(r.pending[0])
		if age > max(time.Duration(3*r.decayed(now)*float64(r.median)), 25*time.Millisecond) {
			cost += float64(age) / float64(r.median)
		}
	}
	return cost
}

func (p previous) choose(now time.Time, r *rand.Rand, ids []string, _ workload.Class) string {
	best, lowest, first := "", 0.0, r.IntN(len(ids))
	for i := range ids {
		id := ids[(first+i)%len(ids)]
		if cost := p.replicas[id].cost(now); best == "" || cost < lowest {
			best, lowest = id, cost
		}
	}
	return best
}

func (p previous) start(now time.Time, id string, c workload.Class) func(time.Time, replica.Load) {
	s := p.replicas[id]
	s.pending = append(s.pending, now)
	return func(end time.Time, l replica.Load) {
		s.pending = slices.Delete(s.pending, slices.Index(s.pending, now), slices.Index(s.pending, now)+1)
		s.load, s.reportedAt, s.median = l, end, p.latency.Median(c.Route)
		s.slowness = s.decayed(end)*0.7 + min(float64(end.Sub(now))/float64(s.median), 30)*0.3
		s.observedAt = end
		p.latency.Observe(end, c.Route, end.Sub(now))
	}
}

// simServer is a server with a queue. A neighbour slows it down for a while in some of the quarter seconds.
type simServer struct {
	speed    float64
	slow     []bool // by quarter of a second
	lie      string
	free     [slots]time.Time
	requests [][2]time.Time // start and end of those that have not ended
}

func (s *simServer) slowdown(now time.Time) float64 {
	if s.slow[int(now.Sub(start)/(250*time.Millisecond))%len(s.slow)] {
		return 2.5
	}
	return 1
}

// run returns the end of a request with the given work that arrives now.
func (s *simServer) run(now time.Time, work time.Duration) time.Time {
	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}
	begin := now
	if s.free[slot].After(now) {
		begin = s.free[slot]
	}
	end := begin.Add(time.Duration(float64(work) * s.speed * s.slowdown(begin)))
	s.free[slot] = end
	s.requests = append(s.requests, [2]time.Time{begin, end})
	return end
}

func (s *simServer) report(now time.Time) replica.Load {
	s.requests = slices.DeleteFunc(s.requests, func(r [2]time.Time) bool { return !r[1].After(now) })
	l := replica.Load{Slots: slots, Slowdown: s.slowdown(now)}
	for _, r := range s.requests {
		if r[0].After(now) {
			l.Queued++
		} else {
			l.Running++
		}
	}
	switch s.lie {
	case "slow":
		l.Slowdown = 2.5
	case "fast":
		l.Slowdown = 0.5
	case "usual":
		l.Slowdown = 1
	case "full":
		l.Running, l.Queued = slots, 20
	case "free":
		l.Running, l.Queued = 0, 0
	}
	return l
}

// simulation is what a script describes.
type simulation struct {
	vms, burst, seconds int
	load, neighbours    float64
	speeds, work, lies  []string
}

// ended is an attempt whose result is still to be recorded.
type ended struct {
	at  time.Time
	end func()
}

// run returns the sorted latencies of the requests, in units of their mean work, of half of the time on.
func (s simulation) run(seed uint64, newPlacer func(ids []string) placer) []float64 {
	arrivals, draws := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	servers, ids := map[string]*simServer{}, []string{}
	for i, speed := range s.speeds {
		sv := &simServer{lie: s.lies[i%len(s.lies)]}
		fmt.Sscan(speed, &sv.speed)
		for range s.seconds * 4 {
			sv.slow = append(sv.slow, arrivals.Float64() < s.neighbours)
		}
		ids = append(ids, fmt.Sprint("server-", i))
		servers[ids[i]] = sv
	}
	var vms []placer
	for range s.vms {
		vms = append(vms, newPlacer(ids))
	}
	var mean time.Duration
	var work []time.Duration
	for _, text := range s.work {
		d, _ := time.ParseDuration(text)
		work, mean = append(work, d), mean+d/time.Duration(len(s.work))
	}
	gap := time.Duration(float64(mean) / s.load / float64(slots*len(ids)))
	var pending []ended
	var latencies []float64
	for now := start; now.Sub(start) < time.Duration(s.seconds)*time.Second; now = now.Add(time.Duration(arrivals.ExpFloat64() * float64(gap) * float64(s.burst))) {
		for len(pending) > 0 && !pending[0].at.After(now) {
			pending[0].end()
			pending = pending[1:]
		}
		first := arrivals.IntN(len(vms))
		for n := range s.burst { // the VMs choose at the same moment
			vm, kind := vms[(first+n)%len(vms)], arrivals.IntN(len(work))
			c := workload.NewClass(fmt.Sprint("route-", kind), "GET", 0)
			w := time.Duration(float64(work[kind]) * (0.8 + 0.4*arrivals.Float64()))
			if arrivals.IntN(100) == 0 {
				w = 5 * work[kind]
			}
			id := vm.choose(now, draws, ids, c)
			end, at := vm.start(now, id, c), servers[id].run(now, w)
			i, _ := slices.BinarySearchFunc(pending, at, func(e ended, t time.Time) int { return e.at.Compare(t) })
			pending = slices.Insert(pending, i, ended{at, func() { end(at, servers[id].report(at)) }})
			if now.Sub(start) > time.Duration(s.seconds)*time.Second/2 {
				latencies = append(latencies, float64(at.Sub(now))/float64(work[kind]))
			}
		}
	}
	slices.Sort(latencies)
	return latencies
}

// compare runs the simulation with both placers and returns the ratios, new over previous, of the mean and of the 99th
// percentile.
func (s simulation) compare(seed uint64) (mean, p99 float64) {
	a := s.run(seed, func(ids []string) placer {
		p := current{replica.New(replica.Settings{}), workload.New()}
		p.table.SetMemberCount(s.vms)
		for i, id := range ids {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
			p.table.Put(start, route.Server{ID: id, Service: "s", Slots: slots, Address: addr})
		}
		return p
	})
	b := s.run(seed, func(ids []string) placer {
		p := previous{balancer.NewLatencyEstimator(balancer.DefaultLatencySettings()), map[string]*previousReplica{}}
		for _, id := range ids {
			p.replicas[id] = &previousReplica{slowness: 1, median: 20 * time.Millisecond, observedAt: start}
		}
		return p
	})
	average := func(l []float64) (sum float64) {
		for _, v := range l {
			sum += v / float64(len(l))
		}
		return sum
	}
	return average(a) / average(b), a[len(a)*99/100] / b[len(b)*99/100]
}

// TestPlacement guards against a choice that makes callers wait longer than the cost function before did: with servers of
// uneven speed, with neighbours that slow servers down, with requests of very different work, with reports that lie, and
// with VMs that choose at the same moment. A script states the greatest ratios, new over previous, that it allows.
func TestPlacement(t *testing.T) {
	datadriven.RunTest(t, "testdata-placement/compare.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := simulation{vms: 8, burst: 1, seconds: 12, load: 0.5, speeds: []string{"1", "1", "1"}, work: []string{"2500us"}, lies: []string{""}}
		var meanLimit, p99Limit float64
		for _, line := range strings.Fields(d.Input) {
			name, value, _ := strings.Cut(line, "=")
			list := strings.Split(value, ",")
			switch name {
			case "speeds":
				s.speeds = list
			case "work":
				s.work = list
			case "lies":
				s.lies = list
			default:
				fmt.Sscan(value, map[string]any{"vms": &s.vms, "burst": &s.burst, "seconds": &s.seconds, "load": &s.load, "neighbours": &s.neighbours, "mean": &meanLimit, "p99": &p99Limit}[name])
			}
		}
		var mean, p99 float64
		const seeds = 2
		for seed := range uint64(seeds) {
			m, p := s.compare(seed + 1)
			mean, p99 = mean+m/seeds, p99+p/seeds
		}
		t.Logf("%s: new over previous: mean %.3f, 99th percentile %.3f", d.Pos, mean, p99)
		return fmt.Sprintf("mean within limit %t, 99th percentile within limit %t\n", mean <= meanLimit, p99 <= p99Limit)
	})
}

// BenchmarkChoose guards against a choice that is too dear for a machine with a fifth of a core: among three replicas it is
// to take at most 2 us and allocate nothing.
func BenchmarkChoose(b *testing.B) {
	table, r := replica.New(replica.Settings{}), rand.New(rand.NewPCG(1, 1))
	ids := []string{"a", "b", "c"}
	for _, id := range ids {
		table.Put(start, server([]string{id, "s", ""}))
		for range 4 {
			h, _ := table.StartAttempt(start, id, route.Service{}, replica.LimitShare{}, scriptWork)
			table.EndAttempt(start, h, replica.Result{Outcome: replica.Succeeded, Elapsed: 2 * scriptWork, Load: &replica.Load{Running: 2, Slots: 3, Slowdown: 2.5}})
			table.StartAttempt(start, id, route.Service{}, replica.LimitShare{}, scriptWork)
		}
	}
	b.ReportAllocs()
	for range b.N {
		table.Choose(start.Add(100*time.Millisecond), r, ids, scriptWork)
	}
}
