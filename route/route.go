// Package route determines the services that a request is sent to. It matches routes by host and path prefix,
// splits requests over weighted targets, and holds the current configuration.
package route

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pistachioshore.dev/team"
)

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the sum over the targets
}

// Route defines how requests with a given host and path prefix are served.
type Route struct {
	Name          string
	Host          string        // in lower case, without a port
	Prefix        string        // begins and ends with a slash
	Idempotent    bool          // requests may run more than once
	Timeout       time.Duration // maximum time for a request; 0 for no limit
	TargetLatency time.Duration // latency up to which an answer has its full value; 0 for none
	MaxAttempts   int           // attempts per request, or per shard of a sharded route
	Priority      int           // 0 is the most urgent
	Targets       []Target      // services of an unsharded route
	Shards        []string      // services that each hold one shard of the data; set for a sharded route only
	TopK          int           // maximum number of records in the answer of a sharded route
	MinCoverage   float64       // fraction of the shards that an answer must cover, from 0 to 1
	Regions       []string      // regions whose servers may be used; empty for all
	Public        bool          // requests need no API key
}

// Sharded reports whether the route's requests are fanned out to shards.
func (r *Route) Sharded() bool {
	return len(r.Shards) > 0
}

// Service holds the settings for the servers of a service.
type Service struct {
	Name           string
	HealthPath     string        // path of health checks; "/" if empty
	MaxConnections int           // per server, summed over all VMs
	Warmup         time.Duration // time for which a server is cold after its start
	WarmupRate     float64       // requests per second that a cold server can handle; 0 for no limit
}

// Limits are the limits for client requests and connections.
type Limits struct {
	MaxHeaderBytes int           // size of a request header
	MaxBodyBytes   int           // size of a request body
	HeaderTimeout  time.Duration // time to receive a request header
	IdleTimeout    time.Duration // time after which an idle connection is closed; 0 for no limit
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version      uint64
	Routes       []Route
	Services     map[string]Service // by name
	Limits       Limits
	Teams        *team.Directory     // teams that may send requests; nil if requests need no API key
	routesByHost map[string][]*Route // by host, longest prefix first
}

// NewConfig returns a configuration with the given routes, indexed by host.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:      version,
		Routes:       routes,
		Services:     make(map[string]Service, len(services)),
		Limits:       limits,
		routesByHost: map[string][]*Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host with the longest prefix that matches the path. The host's port and case are
// ignored.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host without its port, in lower case.
func hostName(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		return host[:i]
	}
	return host
}

// Server is a running instance of an upstream, as listed by the platform.
type Server struct {
	ID         string
	Service    string // name of its service
	Address    netip.AddrPort
	Zone       string
	Slots      int           // maximum number of requests that it runs concurrently
	Draining   bool          // must receive no new requests
	WarmupLeft time.Duration // time until it is warm, as of its listing; 0 if it is warm
	StartedAt  time.Time     // zero if not known
}
