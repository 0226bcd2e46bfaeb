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

// Sizes of the tier of a cell: three zones with two VMs each, four services on nine upstreams.
const (
	firm       = "armor"
	vmsPerZone = 2
	siteTime   = 15 * time.Second

	upstreamRestart = 200 * time.Millisecond // connections are refused for so long
	closeTime       = 15 * time.Second
)

// kept lists the servers of each service that a cell has.
var kept = map[string]int{"chiffrage-01": 2, "chiffrage-02": 2, "tournees-01": 2, "suivi-chantier-01": 3}

// site is a running tier with what the cells share.
type site struct {
	tier     *tier.Tier
	client   *tier.Client
	trap     *trap
	child    *child       // nil unless one VM runs in a process of its own
	requests atomic.Int64 // numbers the requests, so that each can have a fingerprint of its own
	current  uint64       // snapshot that new queries pin
}

// newSite starts a tier; with a command, its first VM runs in a process of its own.
func newSite(ctx context.Context, seed uint64, command []string) (*site, error) {
	ctx, cancel := context.WithTimeout(ctx, siteTime)
	defer cancel()
	s := &site{trap: newTrap(), current: 1}
	var err error
	s.tier, err = tier.Start(ctx, tier.Settings{
		Firm: firm, VMsPerZone: vmsPerZone, LogOutput: io.Discard,
		Upstreams: upstream.Settings{
			QueueLimit: 8, ServiceTime: 4 * time.Millisecond, Spread: 0.3, Seed: seed, RestartTime: upstreamRestart,
		},
		ConfigOptions:   []sample.Option{sample.WithSnapshots(1)},
		AdjustConfig:    shrink,
		NewStepObserver: func(a netip.AddrPort) vm.StepObserver { return s.trap.at(a, nil) },
		NewRunner: func(p tier.RunnerSettings) (tier.Runner, error) {
			if p.Index > 0 || command == nil {
				return nil, nil
			}
			s.child = newChildRunner(p, command)
			return s.child, nil
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "start the tier")
	}
	s.client = tier.NewClient(s.tier)
	return s, nil
}

// close ends the tier; it does not depend on the end of the run.
func (s *site) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	s.tier.Network().ResetSilentConnections()
	s.tier.Close(ctx)
}

// shrink cuts the default configuration down to the kept services.
func shrink(cfg *wire.Configuration) {
	var groups []wire.GroupSettings
	for _, g := range cfg.Groups {
		g.Services = slices.DeleteFunc(slices.Clone(g.Services), func(s wire.ServiceSettings) bool { return kept[s.Name] == 0 })
		for i, svc := range g.Services {
			g.Services[i].Servers = svc.Servers[:min(len(svc.Servers), kept[svc.Name])]
		}
		if len(g.Services) > 0 {
			groups = append(groups, g)
		}
	}
	cfg.Groups = groups
	for i := range cfg.Layouts {
		cfg.Layouts[i].Shards = shrinkShards(cfg.Layouts[i].Shards)
	}
	cfg.Routes = slices.DeleteFunc(slices.Clone(cfg.Routes), func(r wire.RouteSettings) bool { return r.Name == "client-reminder" })
}

// shrinkShards keeps the shards of the kept services; one that the layout moves to another service
// goes to the first of its group, so that a new layout moves shards here too.
func shrinkShards(shards []wire.ShardSettings) []wire.ShardSettings {
	var out []wire.ShardSettings
	for _, s := range shards {
		if kept[strings.TrimSuffix(s.Name, "-upper")] == 0 {
			continue
		}
		if kept[s.Service] == 0 {
			s.Service = s.Group + "-01"
		}
		out = append(out, s)
	}
	return out
}

// zone returns the name of a zone by its number; the first has the VM in a process of its own.
func (s *site) zone(n int) string {
	return s.tier.Catalog().Zones[n].Name
}

// running returns the VMs that run.
func (s *site) running() []*tier.VM {
	return slices.DeleteFunc(s.tier.VMs(), func(v *tier.VM) bool { return !v.Running() })
}

// vmAt returns the VM that runs at an address.
func (s *site) vmAt(a netip.AddrPort) *tier.VM {
	for _, v := range s.running() {
		if v.Address == a {
			return v
		}
	}
	return nil
}

// edit changes the faults of upstreams.
func (s *site) edit(sel upstream.Selection, change func(f *upstream.Faults)) error {
	var failures error
	for _, u := range s.tier.Upstreams().Select(sel) {
		f := u.Faults()
		change(&f)
		failures = errors.CombineErrors(failures, u.SetFaults(f))
	}
	return failures
}
