package codec

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// MaxConfigBytes is the largest value that the platform's configuration service holds.
const MaxConfigBytes = 1 << 20

// MaxDeadline bounds route deadlines, so that all work of a stopped owner VM has ended before the takeover delay.
const MaxDeadline = 2500 * time.Millisecond

// ParseConfig reads a published configuration file; it returns every fault that it finds.
func ParseConfig(raw []byte) (*catalog.Config, []*result.Error) {
	if len(raw) > MaxConfigBytes {
		return nil, []*result.Error{result.New(result.ValueTooLarge, "the configuration exceeds 1 MiB")}
	}
	body, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, []*result.Error{result.New(result.Malformed, err.Error())}
	}
	doc, err := DecodeJSON[wire.Configuration](bytes.NewReader(body), 4*MaxConfigBytes)
	if err != nil {
		var fault *result.Error
		if f, ok := err.(*result.Error); ok {
			fault = f
		} else {
			fault = result.New(result.Malformed, err.Error())
		}
		return nil, []*result.Error{fault}
	}
	p := configParser{}
	cfg := p.config(doc)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	cfg.Digest = xxhash.Sum64(raw)
	cfg.Index()
	return cfg, nil
}

// configParser converts a configuration and collects its faults.
type configParser struct {
	faults []*result.Error
}

func (p *configParser) config(doc wire.Configuration) *catalog.Config {
	cfg := &catalog.Config{Revision: doc.Revision, Firm: doc.Firm, Current: doc.CurrentSnapshot}
	for _, z := range doc.Zones {
		cfg.Zones = append(cfg.Zones, catalog.Zone{Name: z.Name, Out: z.State == "out"})
	}
	for i, v := range doc.OutVms {
		cfg.OutVMs = append(cfg.OutVMs, p.address(fmt.Sprintf("out-vms[%d]", i), v))
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

func (p *configParser) address(path, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.faults = append(p.faults, result.Field(result.OutOfRange, path, value, "an IP address with a port"))
	}
	return a
}

func (p *configParser) duration(path, value string, least, most time.Duration) time.Duration {
	d, err := ParseDuration(path, value, least, most)
	if fault, ok := err.(*result.Error); ok {
		p.faults = append(p.faults, fault)
	}
	return d
}

func (p *configParser) group(path string, g wire.GroupSettings) catalog.Group {
	out := catalog.Group{
		Name: g.Name, Slots: g.Slots, Connections: g.Connections, ColdLimit: g.ColdLimit,
		WarmAfter:   withDefault(g.WarmAfter, 8),
		ConnectTime: p.duration(path+".connect-time", withDefault(g.ConnectTime, "1ms"), 0, time.Second),
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

func (p *configParser) route(path string, r wire.RouteSettings) catalog.Route {
	class, ok := catalog.ParseClass(r.Class)
	if !ok {
		p.faults = append(p.faults, result.Field(result.OutOfRange, path+".class", r.Class, "urgent, normal or background"))
	}
	deadline := p.duration(path+".deadline", r.Deadline, 10*time.Millisecond, MaxDeadline)
	return catalog.Route{
		Name: r.Name, Class: class, Groups: r.Groups, Idempotent: r.Idempotent,
		Deadline:        deadline,
		MinimumCoverage: r.MinimumCoverage,
		StragglerWait:   p.duration(path+".straggler-wait", withDefault(r.StragglerWait, r.Deadline), 0, MaxDeadline),
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
