// Package sample provides the default configuration and the records of both firms.
package sample

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"pistachioshore.dev/wire"
)

// shape describes the services of one group.
type shape struct {
	group       string
	services    int
	servers     int
	slots       int
	connections int
	connect     time.Duration
}

// firm describes one firm's tier.
type firm struct {
	zones  []string
	shapes []shape
	routes []wire.RouteSettings
}

var firms = map[string]firm{
	"armor": {
		zones: []string{"brest-nord", "angers-est", "cherbourg-sud"},
		shapes: []shape{
			{"chiffrage", 20, 2, 3, 30, 6 * time.Millisecond},
			{"tournees", 30, 2, 3, 30, 6 * time.Millisecond},
			{"suivi-chantier", 1, 9, 6, 100, time.Millisecond},
			{"relances-clients", 1, 4, 6, 100, time.Millisecond},
		},
		routes: []wire.RouteSettings{
			{
				Name: "breakdown-lookup", Class: "urgent", Groups: []string{"chiffrage", "tournees"}, Idempotent: true,
				Deadline: "400ms", MinimumCoverage: 0.9, StragglerWait: "80ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "job-lookup", Class: "normal", Groups: []string{"tournees", "suivi-chantier"}, Idempotent: true,
				Deadline: "600ms", MinimumCoverage: 0.9, StragglerWait: "200ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "client-reminder", Class: "background", Groups: []string{"relances-clients"}, Idempotent: true,
				Deadline: "1s", MinimumCoverage: 1, StragglerWait: "1s", HedgeBudget: 0.02, RetryBudget: 0.1,
			},
			{
				Name: "pump-order", Class: "urgent", Groups: []string{"suivi-chantier"}, Idempotent: false,
				Deadline: "2s", MinimumCoverage: 1, StragglerWait: "2s", HedgeBudget: 0, RetryBudget: 0.1,
			},
		},
	},
	"hronec": {
		zones: []string{"banska-hall", "zilina-coat", "kosice-office"},
		shapes: []shape{
			{"workshop-ledger", 20, 2, 2, 25, 6 * time.Millisecond},
			{"order-desk", 30, 2, 2, 25, 6 * time.Millisecond},
			{"cert-archive", 1, 9, 3, 40, time.Millisecond},
			{"pitch-stock", 1, 4, 3, 40, time.Millisecond},
		},
		routes: []wire.RouteSettings{
			{
				Name: "reject-check", Class: "urgent", Groups: []string{"workshop-ledger"}, Idempotent: true,
				Deadline: "800ms", MinimumCoverage: 1, StragglerWait: "800ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "lens-blank-lookup", Class: "normal", Groups: []string{"workshop-ledger", "order-desk"}, Idempotent: true,
				Deadline: "800ms", MinimumCoverage: 0.95, StragglerWait: "400ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "stock-lookup", Class: "background", Groups: []string{"pitch-stock"}, Idempotent: true,
				Deadline: "1s", MinimumCoverage: 1, StragglerWait: "1s", HedgeBudget: 0.02, RetryBudget: 0.1,
			},
			{
				Name: "certificate-reprint", Class: "normal", Groups: []string{"cert-archive"}, Idempotent: false,
				Deadline: "2s", MinimumCoverage: 1, StragglerWait: "2s", HedgeBudget: 0, RetryBudget: 0.1,
			},
		},
	},
}

// Firms lists the firms that have a default configuration.
func Firms() []string {
	return []string{"armor", "hronec"}
}

// Config returns a firm's default configuration; its upstreams listen on loopback from basePort on.
func Config(name string, basePort uint16) (wire.Configuration, bool) {
	f, ok := firms[name]
	if !ok {
		return wire.Configuration{}, false
	}
	cfg := wire.Configuration{Format: 1, Revision: 1, Firm: name, CurrentSnapshot: 1, Routes: f.routes}
	for _, z := range f.zones {
		cfg.Zones = append(cfg.Zones, wire.ZoneSettings{Name: z, State: "in"})
	}
	layout := wire.LayoutSettings{Name: "first"}
	port := basePort
	for _, s := range f.shapes {
		g, shards := s.build(f.zones, &port)
		cfg.Groups = append(cfg.Groups, g)
		layout.Shards = append(layout.Shards, shards...)
	}
	cfg.Layouts = []wire.LayoutSettings{layout}
	cfg.Snapshots = []wire.SnapshotSettings{{Version: 1, Layout: "first"}}
	return cfg, true
}

// build spreads the servers of each service over the zones in turn.
func (s shape) build(zones []string, port *uint16) (wire.GroupSettings, []wire.ShardSettings) {
	g := wire.GroupSettings{
		Name: s.group, Slots: s.slots, Connections: s.connections, ColdLimit: 1, WarmAfter: 8, ConnectTime: s.connect.String(),
	}
	var shards []wire.ShardSettings
	for i := range s.services {
		svc := wire.ServiceSettings{Name: fmt.Sprintf("%s-%02d", s.group, i+1)}
		for j := range s.servers {
			svc.Servers = append(svc.Servers, wire.ServerSettings{
				Name:    fmt.Sprintf("%s-%c", svc.Name, 'a'+j),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), *port).String(),
				Zone:    zones[(i+j)%len(zones)],
			})
			*port++
		}
		g.Services = append(g.Services, svc)
		shards = append(shards, wire.ShardSettings{
			Name: svc.Name, Group: s.group, Service: svc.Name, From: Key(s.group, i, 0), To: Key(s.group, i+1, 0),
		})
	}
	return g, shards
}

// Key returns the key of a record: its group, the number of its range and its place in it.
func Key(group string, shard, n int) string {
	return fmt.Sprintf("%s/%03d/%04d", group, shard, n)
}

// YAML returns the configuration file's text.
func YAML(cfg wire.Configuration) ([]byte, error) {
	return yaml.MarshalWithOptions(cfg, yaml.UseJSONMarshaler())
}
