// Package catalog defines and validates the configuration of the tier: zones, groups, services,
// upstreams, snapshots and routes. It also stores the current configuration.
package catalog

import (
	"net/netip"
	"time"
)

// Class is the priority class of a request; a lower value is more urgent.
type Class int

// Priority classes, most urgent first.
const (
	Urgent Class = iota
	Normal
	Background
)

// ClassNames lists the names of the classes, most urgent first.
var ClassNames = []string{"urgent", "normal", "background"}

// String returns the name of the class.
func (c Class) String() string {
	if c < 0 || int(c) >= len(ClassNames) {
		return "unknown"
	}
	return ClassNames[c]
}

// ParseClass returns the class with the given name, or false if there is none.
func ParseClass(name string) (Class, bool) {
	for i, n := range ClassNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Config is one version of the configuration. It must not be modified once it is shared.
type Config struct {
	Revision        uint64 // increases with each published configuration
	Digest          uint64 // hash of the published bytes; distinguishes configurations with the same revision
	Firm            string // company that the tier belongs to
	Zones           []Zone
	DrainedVMs      []netip.AddrPort // VMs drained by operators
	Groups          []Group
	Layouts         []Layout
	Snapshots       []Snapshot
	CurrentSnapshot uint64 // version of the snapshot that new queries read
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
	Drained bool // taken out of service by operators
}

// Group is the set of services that hold the records of one application of the firm. Their servers have the same
// settings.
type Group struct {
	Name           string
	Slots          int           // number of requests that one server runs concurrently
	MaxConnections int           // number of connections that one server accepts
	ColdLimit      int           // number of requests that one server can run concurrently right after a cold start
	WarmAfter      int           // number of answers after which the cold limit doubles, repeatedly until it reaches Slots
	ConnectTime    time.Duration // usual time to open a connection to a server
	Services       []Service
}

// Service holds one or more shards; each of its servers has a replica of all of them.
type Service struct {
	Name    string
	Group   string // name of the group; set by BuildIndex
	Servers []Server
}

// Server is one upstream: a replica of its service.
type Server struct {
	Name    string
	Service string // name of the service; set by BuildIndex
	Group   string // name of the group; set by BuildIndex
	Address netip.AddrPort
	Zone    string
	Leaving bool // being drained: the tier sends it no new work
}

// Layout maps shards to services for the snapshots that use it.
type Layout struct {
	Name   string
	Shards []Shard
}

// Shard is a key range of the records of a group, and the service that holds it.
type Shard struct {
	Name    string
	Group   string
	Service string // its servers hold the shard
	From    string // first key, inclusive
	To      string // end of the range, exclusive; empty if unbounded
}

// Snapshot is one version of the records, and the layout of its shards.
type Snapshot struct {
	Version uint64
	Layout  string // name of the layout
}

// Route holds the settings of a kind of request, which callers name in their requests.
type Route struct {
	Name            string
	Class           Class
	Groups          []string      // groups whose shards receive the requests; a query may name some of them instead
	Idempotent      bool          // requests may run more than once, so they can be hedged and retried
	Deadline        time.Duration // time within which a request is answered; callers can ask for less
	MinimumCoverage float64       // fraction of the shards, from 0 to 1, below which a query keeps waiting or restarts
	StragglerWait   time.Duration // maximum wait for the remaining shards once the minimum is covered
	HedgeBudget     float64       // hedged sub-requests allowed per primary one
	RetryBudget     float64       // retried sub-requests allowed per primary one
}

// Limits are the resource limits of one VM. Each is a maximum.
type Limits struct {
	BodyBytes     int // size of a request body
	FrameBytes    int // size of a frame between VMs
	InFlight      int // requests that one VM has accepted but not answered
	QueueLength   int // sub-requests queued for one upstream at its owner, the VM that sends it all requests
	AnswerRecords int // records in an answer
}

// BuildIndex indexes the configuration by name, and sets the group names of services and servers and the service names
// of servers. It must be called once, before the configuration is shared.
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

// indexGroup indexes the services and servers of a group and sets the names of the group and service that they are in.
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

// Zone returns the zone with the given name.
func (c *Config) Zone(name string) (*Zone, bool) {
	z, ok := c.zones[name]
	return z, ok
}

// ZoneDrained reports whether operators have drained the zone; an unknown zone counts as drained.
func (c *Config) ZoneDrained(name string) bool {
	z, ok := c.zones[name]
	return !ok || z.Drained
}

// VMDrained reports whether operators have drained the VM.
func (c *Config) VMDrained(vm netip.AddrPort) bool {
	for _, drained := range c.DrainedVMs {
		if drained == vm {
			return true
		}
	}
	return false
}

// Group returns the group with the given name.
func (c *Config) Group(name string) (*Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Server returns the upstream with the given name.
func (c *Config) Server(name string) (*Server, bool) {
	s, ok := c.servers[name]
	return s, ok
}

// Route returns the route with the given name.
func (c *Config) Route(name string) (*Route, bool) {
	r, ok := c.routes[name]
	return r, ok
}

// Shards returns the shards of the given groups in a snapshot, in layout order. It returns false if the snapshot or
// its layout is not known.
func (c *Config) Shards(version uint64, groups []string) ([]Shard, bool) {
	for _, s := range c.Snapshots {
		if s.Version != version {
			continue
		}
		l, ok := c.layouts[s.Layout]
		if !ok {
			return nil, false
		}
		return l.shardsOf(groups), true
	}
	return nil, false
}

// shardsOf returns the shards that belong to one of the groups.
func (l *Layout) shardsOf(groups []string) []Shard {
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
