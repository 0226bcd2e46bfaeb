// Package sample provides default configurations and generated records for two firms.
//
// A configuration has one or two layouts, which divide the keys of each group into shards and assign each shard
// to a service. Every snapshot, a numbered version of the records, uses one of them.
package sample

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/goccy/go-yaml"

	"pistachioshore.dev/wire"
)

// FirstRepartitionedSnapshot is the first snapshot that uses the layout named second.
const FirstRepartitionedSnapshot = 3

// Cold-start limits by the number of slots of a server.
const (
	smallColdLimit = 1 // up to 3 slots
	largeColdLimit = 2
)

// Firms lists the firms that have a default configuration.
func Firms() []string {
	return []string{"armor", "hronec"}
}

// Config returns a firm's default configuration; its upstreams listen on consecutive loopback ports from basePort.
// It returns false if there is no such firm.
func Config(name string, basePort uint16, opts ...Option) (wire.Configuration, bool) {
	f, ok := firms[name]
	if !ok {
		return wire.Configuration{}, false
	}
	o := options{revision: 1, snapshots: []uint64{1}, currentSnapshot: 1}
	o.address = func(_ string, index int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), basePort+uint16(index))
	}
	for _, opt := range opts {
		opt(&o)
	}
	return builder{firm: f, opts: o}.build(name), true
}

// builder builds one configuration.
type builder struct {
	firm        firm
	opts        options
	serverCount int
}

func (b builder) build(name string) wire.Configuration {
	cfg := wire.Configuration{
		Format: 1, Revision: b.opts.revision, Firm: name, CurrentSnapshot: b.opts.currentSnapshot, Routes: b.firm.routes,
	}
	for _, z := range b.firm.zones {
		state := "in"
		if slices.Contains(b.opts.drainedZones, z) {
			state = "out"
		}
		cfg.Zones = append(cfg.Zones, wire.ZoneSettings{Name: z, State: state})
	}
	first := wire.LayoutSettings{Name: "first"}
	second := wire.LayoutSettings{Name: "second"}
	for _, s := range b.firm.groups {
		cfg.Groups = append(cfg.Groups, b.group(s))
		first.Shards = append(first.Shards, s.shards()...)
		second.Shards = append(second.Shards, repartition(s.shards())...)
	}
	cfg.Layouts = []wire.LayoutSettings{first}
	for _, version := range b.opts.snapshots {
		l := "first"
		if version >= FirstRepartitionedSnapshot {
			l = "second"
		}
		cfg.Snapshots = append(cfg.Snapshots, wire.SnapshotSettings{Version: version, Layout: l})
	}
	if slices.Max(b.opts.snapshots) >= FirstRepartitionedSnapshot {
		cfg.Layouts = append(cfg.Layouts, second)
	}
	return cfg
}

// group returns a group whose servers are spread round-robin over the zones.
func (b *builder) group(s groupSpec) wire.GroupSettings {
	g := wire.GroupSettings{
		Name: s.group, Slots: s.slots, Connections: s.connections, WarmAfter: 8, ConnectTime: s.connectTime.String(),
		ColdLimit: smallColdLimit,
	}
	if s.slots > 3 {
		g.ColdLimit = largeColdLimit
	}
	if b.opts.coldLimit > 0 {
		g.ColdLimit = b.opts.coldLimit
	}
	for i := range s.services {
		svc := wire.ServiceSettings{Name: s.service(i)}
		for j := range s.servers {
			svc.Servers = append(svc.Servers, b.server(svc.Name, i, j))
		}
		g.Services = append(g.Services, svc)
	}
	return g
}

func (b *builder) server(service string, i, j int) wire.ServerSettings {
	name := fmt.Sprintf("%s-%c", service, 'a'+j)
	s := wire.ServerSettings{
		Name: name, Zone: b.firm.zones[(i+j)%len(b.firm.zones)],
		Address: b.opts.address(name, b.serverCount).String(), Leaving: slices.Contains(b.opts.leavingServers, name),
	}
	b.serverCount++
	return s
}

func (s groupSpec) service(i int) string {
	return fmt.Sprintf("%s-%02d", s.group, i+1)
}

// shards returns one shard, a key range, for each service.
func (s groupSpec) shards() []wire.ShardSettings {
	var shards []wire.ShardSettings
	for i := range s.services {
		shards = append(shards, wire.ShardSettings{
			Name: s.service(i), Group: s.group, Service: s.service(i), From: Key(s.group, i, 0), To: Key(s.group, i+1, 0),
		})
	}
	return shards
}

// repartition moves the second of every five shards to the next service, and splits the fourth and moves its
// upper half to the next service.
func repartition(shards []wire.ShardSettings) []wire.ShardSettings {
	var out []wire.ShardSettings
	for i, s := range shards {
		next := shards[(i+1)%len(shards)].Service
		switch i % 5 {
		case 1:
			s.Service = next
		case 3:
			upper := s
			upper.Name, upper.Service, upper.From = s.Name+"-upper", next, Key(s.Group, i, recordsPerRange/2)
			s.To = upper.From
			out = append(out, s)
			s = upper
		}
		out = append(out, s)
	}
	return out
}

// Key returns the key of a record from its group, the index of its key range and its index in that range, both
// from 0.
func Key(group string, rangeIndex, n int) string {
	return fmt.Sprintf("%s/%03d/%04d", group, rangeIndex, n)
}

// YAML returns the text of a configuration file.
func YAML(cfg wire.Configuration) ([]byte, error) {
	return yaml.MarshalWithOptions(cfg, yaml.UseJSONMarshaler())
}
