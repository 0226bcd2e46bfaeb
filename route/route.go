// Package route decides which services a request goes to: routes by host and path prefix, weighted
// targets, shard sets and the configuration version in force.
package route

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the sum over the targets
}

// Route says where requests with a host and a path prefix go and how they may be treated.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Idempotent    bool
	Timeout       time.Duration // longest time that a request is kept waiting; 0 for none
	TargetLatency time.Duration // time within which an answer has its full value; 0 for none
	MaxAttempts   int           // servers that one request may be sent to, for each shard
	Priority      int           // 0 is the most urgent
	Targets       []Target      // set unless Shards is
	Shards        []string      // services of which each holds a part of the answer
	TopK          int           // records of an answer over shards
	MinCoverage   float64       // share of the shards that an answer must hold, 0 to 1
	Regions       []string      // regions whose servers may be used; empty for all
}

// Sharded reports whether the route's requests go to several shards.
func (r *Route) Sharded() bool {
	return len(r.Shards) > 0
}

// Service says how the servers of a service are to be treated.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // of one server, over all callers
	Warmup         time.Duration // time for which a started server is cold
	WarmupRate     float64       // requests a second that a cold server bears; 0 if it has no limit
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration; it is not changed once built.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route // by host, longest prefix first
}

// NewConfig returns a configuration whose routes can be matched.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Routes:   routes,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		hosts:    map[string][]*Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host with the longest prefix that begins the path. A port in the
// host is ignored, and so is its case.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		return host[:i]
	}
	return host
}

// Server is one lifetime of an upstream as the platform describes it.
type Server struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	Zone       string
	Slots      int // requests that it runs at once
	Draining   bool
	WarmupLeft time.Duration
	StartedAt  time.Time // start of this lifetime; zero if it is not known
}
