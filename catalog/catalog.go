// Package catalog holds the configuration in force: zones, groups, services, upstreams, snapshots and routes.
package catalog

import (
	"net/netip"
	"time"
)

// Class is the urgency of a request; lower is more urgent.
type Class int

// The classes, most urgent first.
const (
	Urgent Class = iota
	Normal
	Background
)

// ClassNames lists the classes' names in order of urgency.
var ClassNames = []string{"urgent", "normal", "background"}

// String returns the class's name.
func (c Class) String() string {
	if c < 0 || int(c) >= len(ClassNames) {
		return "unknown"
	}
	return ClassNames[c]
}

// ParseClass returns the class of that name.
func ParseClass(name string) (Class, bool) {
	for i, n := range ClassNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Config is one version of the configuration; it is not changed after it is built.
type Config struct {
	Revision        uint64
	Digest          uint64
	Firm            string
	Zones           []Zone
	DrainedVMs      []netip.AddrPort // VMs taken out of service by operators
	Groups          []Group
	Layouts         []Layout
	Snapshots       []Snapshot
	CurrentSnapshot uint64 // version of the newest snapshot that new queries pin
	Routes          []Route
	Limits          Limits

	zones    map[string]*Zone
	groups   map[string]*Group
	services map[string]*Service
	servers  map[string]*Server
	layouts  map[string]*Layout
	routes   map[string]*Route
}

// Zone is an availability zone.
type Zone struct {
	Name    string
	Drained bool
}

// Group is a set of services of one shape that belong to one application of the firm.
type Group struct {
	Name           string
	Slots          int           // requests that one server runs at a time
	MaxConnections int           // connections that one server accepts
	ColdLimit      int           // requests that a server in a cold start bears at a time
	WarmAfter      int           // finished requests after which the cold limit doubles
	ConnectTime    time.Duration // usual time to open a connection
	Services       []Service
}

// Service holds one or more shards, replicated on each of its servers.
type Service struct {
	Name    string
	Group   string
	Servers []Server
}

// Server is one upstream: a replica of its service.
type Server struct {
	Name    string
	Service string
	Group   string
	Address netip.AddrPort
	Zone    string
	Leaving bool
}

// Layout maps shards to services for the snapshots that use it.
type Layout struct {
	Name   string
	Shards []Shard
}

// Shard is a key range of a group's records and the service that holds it.
type Shard struct {
	Name    string
	Group   string
	Service string
	From    string // first key, inclusive
	To      string // end of the range, exclusive; empty for no end
}

// Snapshot is one version of the records.
type Snapshot struct {
	Version uint64
	Layout  string
}

// Route is a kind of request with its policy.
type Route struct {
	Name            string
	Class           Class
	Groups          []string
	Idempotent      bool
	Deadline        time.Duration // longest time that a caller may wait
	MinimumCoverage float64       // share of shards below which a query starts over or waits on
	StragglerWait   time.Duration // longest wait for the last shards once the minimum is covered
	HedgeBudget     float64       // hedged sub-requests for each primary one
	RetryBudget     float64       // retried sub-requests for each primary one
}

// Limits bound what one VM holds at a time.
type Limits struct {
	BodyBytes     int
	FrameBytes    int
	InFlight      int // requests that one VM has accepted and not answered
	QueueLength   int // sub-requests queued at the owner for one upstream
	AnswerRecords int
}

// BuildIndex builds the look-up tables; it is called once, before the configuration is shared.
func (c *Config) BuildIndex() {
	c.zones = map[string]*Zone{}
	c.groups = map[string]*Group{}
	c.services = map[string]*Service{}
	c.servers = map[string]*Server{}
	c.layouts = map[string]*Layout{}
	c.routes = map[string]*Route{}
	for i := range c.Zones {
		c.zones[c.Zones[i].Name] = &c.Zones[i]
	}
	for i := range c.Groups {
		c.indexGroup(&c.Groups[i])
	}
	for i := range c.Layouts {
		c.layouts[c.Layouts[i].Name] = &c.Layouts[i]
	}
	for i := range c.Routes {
		c.routes[c.Routes[i].Name] = &c.Routes[i]
	}
}

func (c *Config) indexGroup(g *Group) {
	c.groups[g.Name] = g
	for i := range g.Services {
		s := &g.Services[i]
		s.Group = g.Name
		c.services[s.Name] = s
		for j := range s.Servers {
			s.Servers[j].Service = s.Name
			s.Servers[j].Group = g.Name
			c.servers[s.Servers[j].Name] = &s.Servers[j]
		}
	}
}

// Zone returns the zone of that name.
func (c *Config) Zone(name string) (*Zone, bool) {
	z, ok := c.zones[name]
	return z, ok
}

// ZoneDrained reports whether operators have taken the zone out of service; an unknown zone is out.
func (c *Config) ZoneDrained(name string) bool {
	z, ok := c.zones[name]
	return !ok || z.Drained
}

// VMDrained reports whether operators have taken the VM out of service.
func (c *Config) VMDrained(vm netip.AddrPort) bool {
	for _, out := range c.DrainedVMs {
		if out == vm {
			return true
		}
	}
	return false
}

// Group returns the group of that name.
func (c *Config) Group(name string) (*Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}

// Service returns the service of that name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Server returns the upstream of that name.
func (c *Config) Server(name string) (*Server, bool) {
	s, ok := c.servers[name]
	return s, ok
}

// Route returns the route of that name.
func (c *Config) Route(name string) (*Route, bool) {
	r, ok := c.routes[name]
	return r, ok
}

// Shards returns the shards of the groups in a snapshot, in the order of the layout.
func (c *Config) Shards(version uint64, groups []string) ([]Shard, bool) {
	for _, s := range c.Snapshots {
		if s.Version != version {
			continue
		}
		l, ok := c.layouts[s.Layout]
		if !ok {
			return nil, false
		}
		return l.inGroups(groups), true
	}
	return nil, false
}

func (l *Layout) inGroups(groups []string) []Shard {
	var shards []Shard
	for _, s := range l.Shards {
		for _, g := range groups {
			if s.Group == g {
				shards = append(shards, s)
				break
			}
		}
	}
	return shards
}
