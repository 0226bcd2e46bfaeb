package matrix

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// Size and timeouts of the tier: three zones with two VMs each, and four services with nine upstreams.
const (
	firm         = "armor"
	vmsPerZone   = 2
	startTimeout = 15 * time.Second

	upstreamRestartTime = 200 * time.Millisecond // an upstream refuses connections for this time
	closeTimeout        = 15 * time.Second
)

// serverCounts holds the number of servers of each service in the tier. Other services are left out.
var serverCounts = map[string]int{"chiffrage-01": 2, "chiffrage-02": 2, "tournees-01": 2, "suivi-chantier-01": 3}

// environment is a running tier and the state that its cells share.
type environment struct {
	tier            *tier.Tier
	client          *tier.Client
	breakpoint      *breakpoint
	child           *childRunner // nil unless one VM runs in a child process
	lastRequest     atomic.Int64 // number of the last request; it gives requests distinct fingerprints
	currentSnapshot uint64       // snapshot that new queries pin
}

// newEnvironment starts a tier. If a command is given, its first VM runs in a child process.
func newEnvironment(ctx context.Context, seed uint64, command []string) (*environment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	e := &environment{breakpoint: newBreakpoint(), currentSnapshot: 1}
	var err error
	e.tier, err = tier.Start(ctx, tier.Settings{
		Firm: firm, VMsPerZone: vmsPerZone, LogOutput: io.Discard,
		Upstreams: upstream.Settings{
			QueueLimit: 8, ServiceTime: 4 * time.Millisecond, Spread: 0.3, Seed: seed, RestartTime: upstreamRestartTime,
		},
		ConfigOptions:   []sample.Option{sample.WithSnapshots(1)},
		AdjustConfig:    reduceConfig,
		NewStepObserver: func(a netip.AddrPort) vm.StepObserver { return e.breakpoint.observer(a, nil) },
		NewRunner: func(p tier.RunnerSettings) (tier.Runner, error) {
			if p.Index > 0 || command == nil {
				return nil, nil
			}
			e.child = newChildRunner(p, command)
			return e.child, nil
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "start the tier")
	}
	e.client = tier.NewClient(e.tier)
	return e, nil
}

// close stops the tier. It uses its own context, so that it also works after the run has been cancelled.
func (e *environment) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.tier.Network().ResetSilentConnections()
	e.tier.Close(ctx)
}

// reduceConfig reduces the default configuration to the services of serverCounts.
func reduceConfig(cfg *wire.Configuration) {
	var groups []wire.GroupSettings
	for _, g := range cfg.Groups {
		g.Services = slices.DeleteFunc(slices.Clone(g.Services), func(s wire.ServiceSettings) bool { return serverCounts[s.Name] == 0 })
		for i, svc := range g.Services {
			g.Services[i].Servers = svc.Servers[:min(len(svc.Servers), serverCounts[svc.Name])]
		}
		if len(g.Services) > 0 {
			groups = append(groups, g)
		}
	}
	cfg.Groups = groups
	for i := range cfg.Layouts {
		cfg.Layouts[i].Shards = reduceShards(cfg.Layouts[i].Shards)
	}
	cfg.Routes = slices.DeleteFunc(slices.Clone(cfg.Routes), func(r wire.RouteSettings) bool { return r.Name == "client-reminder" })
}

// reduceShards returns the shards of the remaining services. A shard that the layout moves to a removed service moves to
// the first service of its group instead, so that a new layout still moves shards.
func reduceShards(shards []wire.ShardSettings) []wire.ShardSettings {
	var out []wire.ShardSettings
	for _, s := range shards {
		if serverCounts[strings.TrimSuffix(s.Name, "-upper")] == 0 {
			continue
		}
		if serverCounts[s.Service] == 0 {
			s.Service = s.Group + "-01"
		}
		out = append(out, s)
	}
	return out
}

// zoneName returns the name of zone n. A VM in a child process is in zone 0.
func (e *environment) zoneName(n int) string {
	return e.tier.Catalog().Zones[n].Name
}

// runningVMs returns the VMs that are running.
func (e *environment) runningVMs() []*tier.VM {
	return slices.DeleteFunc(e.tier.VMs(), func(v *tier.VM) bool { return !v.Running() })
}

// vmAt returns the running VM with the given address, or nil if there is none.
func (e *environment) vmAt(a netip.AddrPort) *tier.VM {
	for _, v := range e.runningVMs() {
		if v.Address == a {
			return v
		}
	}
	return nil
}

// editFaults changes the faults of the selected upstreams.
func (e *environment) editFaults(sel upstream.Selection, change func(f *upstream.Faults)) error {
	var errs error
	for _, u := range e.tier.Upstreams().Select(sel) {
		f := u.Faults()
		change(&f)
		errs = errors.CombineErrors(errs, u.SetFaults(f))
	}
	return errs
}
