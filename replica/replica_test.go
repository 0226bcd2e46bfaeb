package replica_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/replica"
	"pistachioshore.dev/route"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// harness is a table with the attempts that a script has started.
type bench struct {
	table   *replica.Table
	tickets map[string]replica.AttemptHandle
	rand    *rand.Rand
}

// TestScripts guards against requests to an upstream that must not or cannot serve them: one that is draining, removed,
// replaced by another instance, stalled, or in an evacuated zone.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := &bench{tickets: map[string]replica.AttemptHandle{}, rand: rand.New(rand.NewPCG(1, 1))}
		b.table = replica.New(replica.Settings{
			Zone: "brest-nord", Regions: map[string]string{"brest-nord": "armorique", "angers-est": "armorique", "wien": "austria"},
			WarmupOvershoot: 1.5, WarmupSlack: 5,
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				out.WriteString(b.run(t, line))
			}
			return out.String()
		})
	})
}

// run executes one line of a script: the time in ms, a command and its arguments.
func (b *bench) run(t *testing.T, line string) string {
	f := strings.Fields(line)
	var ms int
	fmt.Sscan(f[0], &ms)
	now := start.Add(time.Duration(ms) * time.Millisecond)
	args := f[2:]
	switch f[1] {
	case "put":
		b.table.Put(now, server(args))
	case "remove":
		var wait int
		fmt.Sscan(args[1], &wait)
		return fmt.Sprintf("known %t\n", b.table.Remove(now, args[0], now.Add(time.Duration(wait)*time.Millisecond)))
	case "evacuate":
		zones := map[string]bool{}
		for _, z := range args {
			zones[z] = true
		}
		b.table.SetEvacuated(zones)
	case "members":
		var n int
		fmt.Sscan(args[0], &n)
		b.table.SetMemberCount(n)
	case "candidates":
		list := b.table.Candidates(now, args[0], args[1:], true)
		slices.Sort(list)
		return fmt.Sprintln("candidates", list)
	case "orders":
		list := b.table.Candidates(now, args[0], nil, false)
		slices.Sort(list)
		return fmt.Sprintln("candidates", list)
	case "choose":
		return fmt.Sprintln("chosen", b.table.Choose(now, b.rand, args))
	case "start":
		return b.start(now, args)
	case "starts":
		return b.starts(now, args)
	case "end":
		return b.end(now, args)
	case "cut":
		return fmt.Sprintln("cut", b.table.UnreachableZones(now))
	case "stalled":
		return fmt.Sprintln("stalled", b.table.Stalled(now, args[0]))
	default:
		t.Fatalf("unknown command %q", f[1])
	}
	return ""
}

// server parses the ID, service, zone and options of a server.
func server(args []string) route.Server {
	s := route.Server{ID: args[0], Service: args[1], Zone: args[2], Slots: 3, Address: netip.MustParseAddrPort("10.1.0.1:80")}
	for _, o := range args[3:] {
		name, value, _ := strings.Cut(o, "=")
		var n int64
		fmt.Sscan(value, &n)
		switch name {
		case "draining":
			s.Draining = true
		case "cold":
			s.WarmupLeft = time.Duration(n) * time.Millisecond
		case "born":
			s.StartedAt = time.UnixMilli(n)
		}
	}
	return s
}

// start starts the attempt named args[0] at the replica args[1].
func (b *bench) start(now time.Time, args []string) string {
	k, ok := b.table.StartAttempt(now, args[1], route.Service{})
	b.tickets[args[0]] = k
	if !ok {
		return "not started\n"
	}
	return ""
}

// starts prints how many of n attempts the replica accepts with the given warmup rate.
func (b *bench) starts(now time.Time, args []string) string {
	var n, got int
	var rate float64
	fmt.Sscan(args[1], &n)
	fmt.Sscan(args[2], &rate)
	for range n {
		if _, ok := b.table.StartAttempt(now, args[0], route.Service{WarmupRate: rate}); ok {
			got++
		}
	}
	return fmt.Sprintln("started", got)
}

var endings = map[string]replica.Outcome{
	"answered": replica.Succeeded, "failed": replica.Failed, "shed": replica.Shed, "lost": replica.ConnectionLost,
	"refused": replica.ConnectionRefused, "withdrawn": replica.Abandoned, "misplaced": replica.WrongInstance,
}

// end ends an attempt. The arguments are its name, outcome, elapsed time in ms and fingerprint.
func (b *bench) end(now time.Time, args []string) string {
	r := replica.Result{Outcome: endings[args[1]], MedianLatency: 20 * time.Millisecond}
	if len(args) > 2 {
		var ms int
		fmt.Sscan(args[2], &ms)
		r.Elapsed = time.Duration(ms) * time.Millisecond
	}
	if len(args) > 3 {
		fmt.Sscan(args[3], &r.Fingerprint)
	}
	if crashed := b.table.EndAttempt(now, b.tickets[args[0]], r); len(crashed) > 0 {
		return fmt.Sprintln("crashed under", crashed)
	}
	return ""
}
