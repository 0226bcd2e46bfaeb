package forward

import (
	"testing"
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
	"pistachioshore.dev/team"
)

// teamVM returns a VM with a private and a public route, and the team salon with the key k1 and a quota of two requests.
func teamVM(t *testing.T, bound time.Duration) (*VM, *route.Store) {
	t.Helper()
	routes := route.NewStore()
	publishTeam(t, routes, 1, "k1")
	vm := New(Settings{MaxInFlight: 4, Workers: 1, RevocationBound: bound}, routes, replica.New(replica.Settings{}), nil, event.Discard{})
	t.Cleanup(vm.Close)
	return vm, routes
}

func publishTeam(t *testing.T, routes *route.Store, version uint64, key string) {
	t.Helper()
	teams, err := team.NewDirectory([]team.Definition{{Team: team.Team{Name: "salon", Quota: team.Quota{Rate: 0.001, Burst: 3}}, Keys: []string{key}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg := route.NewConfig(version, []route.Route{
		{Name: "look", Host: "h", Prefix: "/look/", Targets: []route.Target{{Service: "s", Weight: 1}}},
		{Name: "open", Host: "h", Prefix: "/open/", Public: true, Targets: []route.Target{{Service: "s", Weight: 1}}},
	}, nil, route.Limits{})
	cfg.Teams = teams
	routes.Accept(time.Now(), cfg)
}

func keyedRequest(path string) *Request {
	return &Request{Host: "h", Path: path, Method: "GET", ReceivedAt: time.Now(), Key: team.Digest("k1")}
}

// admitted returns how many requests of the team are admitted before its quota is used up.
func admitted(vm *VM) int {
	for n := 0; ; n++ {
		if _, ok := vm.Authorize(keyedRequest("/look/1")); !ok {
			return n
		}
	}
}

// TestQuotaReturn guards against requests that are taken off the quota of their team although they may have run, because
// the client has left, and against tokens for requests that were never counted, those to public routes.
func TestQuotaReturn(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		code       result.Code
		want       int
	}{
		{"refused as not run", "/look/1", result.Unreachable, 1},
		{"client has left", "/look/1", result.Cancelled, 0},
		{"may have run", "/look/1", result.Late, 0},
		{"refused on a public route", "/open/1", result.Unreachable, 0},
	} {
		vm, _ := teamVM(t, 0)
		req := keyedRequest(tt.path)
		if _, ok := vm.Authorize(req); !ok {
			t.Fatalf("%s: the request was refused", tt.name)
		}
		admitted(vm)
		vm.returnRefused(req, Answer{Code: tt.code})
		if got := admitted(vm); got != tt.want {
			t.Errorf("%s: got %d tokens back, want %d", tt.name, got, tt.want)
		}
	}
}

// TestRecheck guards against a request that is served although its key was withdrawn, or its configuration got out of date,
// while its body was read, and against public requests that are refused for their key.
func TestRecheck(t *testing.T) {
	const bound = 5 * time.Second
	for _, tt := range []struct {
		name, path     string
		age            time.Duration // of the proof when the body has been read
		withdrawn      bool
		relayed, keyed bool
		want           result.Code
	}{
		{"confirmed", "/look/1", time.Second, false, false, true, result.Unreachable},
		{"withdrawn", "/look/1", time.Second, true, false, true, result.KeyRejected},
		{"unconfirmed", "/look/1", bound, false, false, true, result.ConfigUnconfirmed},
		{"unconfirmed part", "/look/1", bound, false, true, true, result.NotReady},
		{"route that has come to need a key", "/look/1", time.Second, false, false, false, result.KeyRejected},
		{"public", "/open/1", bound, true, false, true, result.Unreachable},
	} {
		vm, routes := teamVM(t, bound)
		vm.Freshness().Confirm(vm.teams.bootClock())
		req := keyedRequest(tt.path)
		if _, ok := vm.Authorize(req); !ok {
			t.Fatalf("%s: the request was refused", tt.name)
		}
		if tt.withdrawn {
			publishTeam(t, routes, 2, "k2")
		}
		if !tt.keyed {
			req.Team = ""
		}
		req.Relayed, req.ConfigVersion = tt.relayed, 1
		start := vm.teams.bootClock()
		vm.teams.bootClock = func() time.Duration { return start + tt.age }
		if got := vm.Serve(t.Context(), req); got.Code != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got.Code, tt.want)
		}
	}
}
