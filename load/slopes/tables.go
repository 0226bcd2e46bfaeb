package slopes

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/balancer/outcome"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/fleet"
	"pistachioshore.dev/permit"
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/upstream"
	"pistachioshore.dev/wire"
)

// Repetitions of an operation and sizes of the tables.
const (
	rounds        = 5
	minRoundTime  = 20 * time.Millisecond
	tableItems    = 10_000
	tableCapacity = 1 << 14 // default capacity of the permit and quarantine tables
)

// measureTables measures the memory and the operations of the state tables, without a network.
func (b *bench) measureTables(context.Context) error {
	for _, servers := range []int{100, 1000, 4000} {
		if err := b.measureCatalog(servers); err != nil {
			return err
		}
	}
	for _, n := range []int{8, 100, 474} {
		b.measureFleet(n, 2737) // number of servers in one of 19 zones
	}
	b.measureFleet(8, 113)
	for _, n := range []int{6, 100, 1000} {
		b.measureOwnedUpstreams(n)
	}
	b.measurePermits()
	b.measureFingerprints()
	b.measureBalancer()
	return b.measureFrames()
}

// microsPerCall returns the average time of a call to fn in microseconds, one value for each round.
func microsPerCall(fn func()) []float64 {
	var out []float64
	for range rounds {
		n, start := 0, time.Now()
		for time.Since(start) < minRoundTime {
			fn()
			n++
		}
		out = append(out, float64(time.Since(start).Nanoseconds())/1000/float64(n))
	}
	return out
}

// heapBytes returns the size in bytes of the heap objects that are reachable from the result of build.
func heapBytes[T any](build func() T) float64 {
	before := liveHeapBytes()
	result := build()
	after := liveHeapBytes()
	runtime.KeepAlive(result)
	return after - before
}

func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // the first run releases objects held by finalizers and pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func numberedAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// configWithServers returns a configuration with the given number of servers, two for each service.
func configWithServers(servers int) wire.Configuration {
	cfg, _ := sample.Config("armor", 20_000)
	g := &cfg.Groups[0]
	g.Services = nil
	var shards []wire.ShardSettings
	for i := range servers / 2 {
		name := fmt.Sprintf("%s-%05d", g.Name, i)
		svc := wire.ServiceSettings{Name: name}
		for j := range 2 {
			svc.Servers = append(svc.Servers, wire.ServerSettings{
				Name: fmt.Sprintf("%s-%c", name, 'a'+j), Zone: cfg.Zones[(i+j)%3].Name, Address: numberedAddress(2*i + j).String(),
			})
		}
		g.Services = append(g.Services, svc)
		shards = append(shards, wire.ShardSettings{
			Name: name, Group: g.Name, Service: name, From: fmt.Sprintf("%05d", i), To: fmt.Sprintf("%05d", i+1),
		})
	}
	cfg.Groups = cfg.Groups[:1]
	cfg.Layouts = []wire.LayoutSettings{{Name: cfg.Layouts[0].Name, Shards: shards}}
	r := cfg.Routes[0]
	r.Groups = []string{g.Name}
	cfg.Routes = []wire.RouteSettings{r} // a new slice, because the sample configurations share theirs
	return cfg
}

func (b *bench) measureCatalog(servers int) error {
	raw, err := sample.YAML(configWithServers(servers))
	if err != nil {
		return err
	}
	if _, faults := codec.ParseConfig(raw); len(faults) > 0 {
		return faults[0]
	}
	b.add("catalog", servers, "value, per server", "B", float64(len(raw))/float64(servers))
	b.add("catalog", servers, "memory, per server", "B", heapBytes(func() *catalog.Config {
		cfg, _ := codec.ParseConfig(raw)
		return cfg
	})/float64(servers))
	var times []float64
	for range rounds {
		start := time.Now()
		_, _ = codec.ParseConfig(raw)
		times = append(times, float64(time.Since(start).Microseconds())/float64(servers))
	}
	b.add("catalog", servers, "check and parse, per server", "us", times...)
	return nil
}

// measureFleet measures the fleet table of one VM with n peers and the given number of upstreams in its zone.
func (b *bench) measureFleet(n, upstreams int) {
	zone, now := "z", time.Now()
	list := make([]fleet.Upstream, upstreams)
	for i := range list {
		list[i] = fleet.Upstream{Name: fmt.Sprintf("server-%05d", i), Zone: zone}
	}
	newHeartbeat := func(i int, revision uint64) fleet.Heartbeat {
		h := fleet.Heartbeat{Address: numberedAddress(i), Zone: zone, Incarnation: 1, Term: 1, Ready: true, Revision: revision, Digest: 1}
		for j := range 8 {
			h.HeardPeers = append(h.HeardPeers, fleet.HeardPeer{Address: numberedAddress(1 + j), Incarnation: 1, Term: 1, Age: time.Millisecond})
		}
		return h
	}
	var t *fleet.Table
	bytes := heapBytes(func() *fleet.Table {
		t = fleet.New(fleet.Self{Address: numberedAddress(0), Zone: zone, Incarnation: 1}, fleet.DefaultSettings(), now)
		t.SetUpstreams(now, list)
		t.NextHeartbeat(now, 1, 1, true)
		for i := 1; i <= n; i++ {
			t.ReceiveHeartbeat(now, newHeartbeat(i, 1))
		}
		t.Tick(now)
		return t
	})
	part := fmt.Sprintf("fleet/%d", upstreams)
	b.add(part, n, "memory", "B", bytes)
	i := 0
	b.add(part, n, "heartbeat received", "us", microsPerCall(func() {
		i++
		t.ReceiveHeartbeat(now, newHeartbeat(1+i%n, 1))
	})...)
	b.add(part, n, "tick", "us", microsPerCall(func() { t.Tick(now) })...)
	b.add(part, n, "heartbeat built", "us", microsPerCall(func() { t.NextHeartbeat(now, 1, 1, true) })...)
	incarnation := uint64(1)
	b.add(part, n, "replaced VM", "us", microsPerCall(func() {
		incarnation++
		h := newHeartbeat(1, 1)
		h.Incarnation = incarnation
		t.ReceiveHeartbeat(now, h)
		t.Tick(now)
	})...)
}

// measureOwnedUpstreams measures the table of owned upstreams while all n of them are idle.
func (b *bench) measureOwnedUpstreams(n int) {
	now := time.Now()
	raw, _ := sample.YAML(configWithServers(2 * n))
	cfg, _ := codec.ParseConfig(raw)
	if cfg == nil {
		return
	}
	var t *upstream.Table[struct{}]
	bytes := heapBytes(func() *upstream.Table[struct{}] {
		t = upstream.New[struct{}](upstream.DefaultSettings())
		t.Configure(now, cfg, 2)
		for _, svc := range cfg.Groups[0].Services {
			t.AcquireOwnership(now, svc.Servers[0].Name, upstream.Handover{})
		}
		return t
	})
	b.add("owned", n, "memory, per upstream", "B", bytes/float64(n))
	b.add("owned", n, "tick, per upstream", "us", perItem(microsPerCall(func() { t.Tick(now) }), n)...)
}

func perItem(values []float64, n int) []float64 {
	for i := range values {
		values[i] /= float64(n)
	}
	return values
}

func (b *bench) measurePermits() {
	now := time.Now()
	var t *permit.Table
	bytes := heapBytes(func() *permit.Table {
		t = permit.New(numberedAddress(0), 1, permit.DefaultSettings())
		for i := range tableItems {
			_, _ = t.Issue(now, fmt.Sprintf("token-%016d", i)) // cannot fail below the capacity of the table
		}
		return t
	})
	b.add("permit", tableItems, "memory, per permit", "B", bytes/tableItems)
	var at time.Duration
	b.add("permit", tableItems, "issue, consume and finish", "us", microsPerCall(func() {
		at += 10 * time.Millisecond // so that earlier permits expire and are removed
		p, err := t.Issue(now.Add(at), "token")
		if err == nil {
			t.Consume(now.Add(at), p, 1)
			t.Finish(now.Add(at), p, permit.Outcome{})
		}
		t.Expire(now.Add(at))
	})...)
}

func (b *bench) measureFingerprints() {
	now := time.Now()
	var t *quarantine.Table
	bytes := heapBytes(func() *quarantine.Table {
		t = quarantine.New(quarantine.DefaultSettings())
		for i := range tableItems {
			t.ApplyDecision(now, uint64(i), quarantine.Decision{Verdict: quarantine.Good, Until: now.Add(time.Minute)})
		}
		return t
	})
	b.add("quarantine", tableItems, "memory, per fingerprint", "B", bytes/tableItems)
	i := uint64(0)
	b.add("quarantine", tableItems, "look-up", "us", microsPerCall(func() {
		i++
		t.Lookup(now, i%tableItems)
	})...)
	b.add("quarantine", tableCapacity, "ask and report of a new one", "us", microsPerCall(func() {
		i++
		t.Decide(now, 1<<32+i, now.Add(time.Second))
		t.Report(now, 1<<32+i, quarantine.Succeeded, "")
	})...)
}

func (b *bench) measureBalancer() {
	now := time.Now()
	names := make([]string, tableItems)
	for i := range names {
		names[i] = fmt.Sprintf("server-%05d", i)
	}
	bytes := heapBytes(func() *outcome.Policy[string] {
		p := outcome.New[string]()
		for _, n := range names {
			p.Observe(now, n, balancer.Observation{OK: true, Elapsed: time.Millisecond})
		}
		return p
	})
	b.add("balancer", tableItems, "memory, per server", "B", bytes/tableItems)
}

// measureFrames measures encoding and decoding a heartbeat.
func (b *bench) measureFrames() error {
	c, err := codec.New()
	if err != nil {
		return err
	}
	h := &wire.Heartbeat{VM: numberedAddress(0), Zone: "cherbourg-sud", Incarnation: 1 << 60, Term: 3, Ready: true, Revision: 12, Digest: 1 << 62}
	for i := range 8 {
		h.Heard = append(h.Heard, wire.HeardPeer{VM: numberedAddress(i), Incarnation: 1 << 60, Term: 3, Age: time.Millisecond})
	}
	e := &wire.Envelope{Kind: codec.KindHeartbeat, Heartbeat: h}
	raw, err := c.EncodeFrame(e)
	if err != nil {
		return err
	}
	b.add("heartbeat", 8, "frame", "B", float64(len(raw)))
	b.add("heartbeat", 8, "encode", "us", microsPerCall(func() { _, _ = c.EncodeFrame(e) })...)
	b.add("heartbeat", 8, "decode", "us", microsPerCall(func() { _, _ = c.DecodeFrame(raw, 1<<20) })...)
	return nil
}
