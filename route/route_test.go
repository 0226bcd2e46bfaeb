package route_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/route"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestScripts guards against matching a shorter prefix when a longer one fits, against wrong shares in a traffic split,
// and against a return to a lower configuration version.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/route.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "match":
			return match(d.Input)
		case "split":
			return split(t, d)
		case "accept":
			return accept(d.Input)
		default:
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		}
	})
}

// match prints the matching route for each host and path. The lines before "--" define the routes.
func match(input string) string {
	routes, requests, _ := strings.Cut(input, "--\n")
	var list []route.Route
	for _, line := range strings.Split(strings.TrimSpace(routes), "\n") {
		f := strings.Fields(line)
		list = append(list, route.Route{Name: f[0], Host: f[1], Prefix: f[2]})
	}
	cfg := route.NewConfig(1, list, nil, route.Limits{})
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(requests), "\n") {
		f := strings.Fields(line)
		name := "none"
		if r, ok := cfg.Match(f[0], f[1]); ok {
			name = r.Name
		}
		fmt.Fprintf(&out, "%s %s: %s\n", f[0], f[1], name)
	}
	return out.String()
}

// split prints the number of requests that each target receives.
func split(t *testing.T, d *datadriven.TestData) string {
	var n int
	d.ScanArgs(t, "n", &n)
	r := &route.Route{Name: "r"}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		var target route.Target
		fmt.Sscan(line, &target.Service, &target.Weight)
		r.Targets = append(r.Targets, target)
	}
	s := route.NewSplitter()
	counts := map[string]int{}
	for range n {
		counts[s.Next(r)]++
	}
	var out strings.Builder
	for _, target := range r.Targets {
		fmt.Fprintf(&out, "%s %d\n", target.Service, counts[target.Service])
	}
	return out.String()
}

// accept offers the versions in order and prints the current one after each.
func accept(input string) string {
	s := route.NewStore()
	var out strings.Builder
	for i, f := range strings.Fields(input) {
		var version uint64
		fmt.Sscan(f, &version)
		changed := s.Accept(start.Add(time.Duration(i)*time.Second), route.NewConfig(version, nil, nil, route.Limits{}))
		fmt.Fprintf(&out, "offered %d: changed %t, in force %d, age %v\n", version, changed, s.Current().Version, s.Age(start.Add(10*time.Second)))
	}
	return out.String()
}

// ExampleStore_SetEvacuated shows that a zone stays evacuated until it is reset.
func ExampleStore_SetEvacuated() {
	s := route.NewStore()
	fmt.Println(s.SetEvacuated("brest-nord", true), s.SetEvacuated("brest-nord", true), s.EvacuatedZones())
	fmt.Println(s.SetEvacuated("brest-nord", false), s.EvacuatedZones())
	// Output:
	// true false map[brest-nord:true]
	// true map[]
}
