package codec

import (
	"fmt"
	"net/netip"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// settingsParser converts a decoded configuration and collects the faults of its addresses and durations.
type settingsParser struct {
	faults []*result.Error
}

func (p *settingsParser) config(doc wire.Configuration) *catalog.Config {
	cfg := &catalog.Config{Revision: doc.Revision, Firm: doc.Firm, CurrentSnapshot: doc.CurrentSnapshot}
	for _, z := range doc.Zones {
		cfg.Zones = append(cfg.Zones, catalog.Zone{Name: z.Name, Drained: z.State == "out"})
	}
	for i, v := range doc.OutVms {
		cfg.DrainedVMs = append(cfg.DrainedVMs, p.address(fmt.Sprintf("out-vms[%d]", i), v))
	}
	for i, g := range doc.Groups {
		cfg.Groups = append(cfg.Groups, p.group(fmt.Sprintf("groups[%d]", i), g))
	}
	for _, l := range doc.Layouts {
		cfg.Layouts = append(cfg.Layouts, layout(l))
	}
	for _, s := range doc.Snapshots {
		cfg.Snapshots = append(cfg.Snapshots, catalog.Snapshot{Version: s.Version, Layout: s.Layout})
	}
	for i, r := range doc.Routes {
		cfg.Routes = append(cfg.Routes, p.route(fmt.Sprintf("routes[%d]", i), r))
	}
	cfg.Limits = limits(doc.Limits)
	return cfg
}

func (p *settingsParser) address(path, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		p.faults = append(p.faults, result.NewFieldError(result.OutOfRange, path, singleLine(value), "an IP address with a port, such as 10.0.0.7:8080"))
		return netip.AddrPort{}
	}
	return a
}

// duration parses a duration; catalog.Validate checks its range.
func (p *settingsParser) duration(path, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		p.faults = append(p.faults, result.NewFieldError(result.OutOfRange, path, singleLine(value), patternText(durationPattern)))
	}
	return d
}

func (p *settingsParser) group(path string, g wire.GroupSettings) catalog.Group {
	out := catalog.Group{
		Name: g.Name, Slots: g.Slots, MaxConnections: g.Connections, ColdLimit: g.ColdLimit,
		WarmAfter:   withDefault(g.WarmAfter, 8),
		ConnectTime: p.duration(path+".connect-time", withDefault(g.ConnectTime, "1ms")),
	}
	for i, s := range g.Services {
		svc := catalog.Service{Name: s.Name, Group: g.Name}
		for j, srv := range s.Servers {
			svc.Servers = append(svc.Servers, catalog.Server{
				Name: srv.Name, Zone: srv.Zone, Leaving: srv.Leaving,
				Address: p.address(fmt.Sprintf("%s.services[%d].servers[%d].address", path, i, j), srv.Address),
			})
		}
		out.Services = append(out.Services, svc)
	}
	return out
}

func layout(l wire.LayoutSettings) catalog.Layout {
	out := catalog.Layout{Name: l.Name}
	for _, s := range l.Shards {
		out.Shards = append(out.Shards, catalog.Shard{
			Name: s.Name, Group: s.Group, Service: s.Service, From: s.From, To: s.To,
		})
	}
	return out
}

func (p *settingsParser) route(path string, r wire.RouteSettings) catalog.Route {
	deadline := p.duration(path+".deadline", r.Deadline)
	stragglerWait := deadline
	if r.StragglerWait != "" {
		stragglerWait = p.duration(path+".straggler-wait", r.StragglerWait)
	}
	class, _ := catalog.ParseClass(r.Class) // the schema admits only known classes
	return catalog.Route{
		Name: r.Name, Class: class, Groups: r.Groups, Idempotent: r.Idempotent,
		Deadline:        deadline,
		MinimumCoverage: r.MinimumCoverage,
		StragglerWait:   stragglerWait,
		HedgeBudget:     r.HedgeBudget,
		RetryBudget:     r.RetryBudget,
	}
}

func limits(l *wire.LimitSettings) catalog.Limits {
	if l == nil {
		l = &wire.LimitSettings{}
	}
	return catalog.Limits{
		BodyBytes:     withDefault(l.BodyBytes, 65536),
		FrameBytes:    withDefault(l.FrameBytes, 1<<20),
		InFlight:      withDefault(l.InFlight, 256),
		QueueLength:   withDefault(l.QueueLength, 64),
		AnswerRecords: withDefault(l.AnswerRecords, 200),
	}
}

func withDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
