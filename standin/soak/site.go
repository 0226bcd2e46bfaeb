package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/standin/kv"
	"pistachioshore.dev/standin/shard"
)

// site is a tier of VMs in processes of their own, with the store and the servers that they reach through proxies.
type site struct {
	store   *kv.Store
	http    *http.Server
	address netip.AddrPort
	vms     []*vm
	history *history
	out     atomic.Bool // zoneB is evacuated

	mu      sync.Mutex
	servers []*server
	number  int // of servers started

	publishing sync.Mutex
	version    int // of the last configuration
}

// server is one lifetime of a server behind its proxy.
type server struct {
	*shard.Server
	proxy *proxy
	gone  bool // it has ended, or says that it leaves
}

// newSite starts the store, the servers and the VMs.
func newSite(set Settings) (*site, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	s := &site{store: kv.New(), history: newHistory(), address: netip.MustParseAddrPort(l.Addr().String())}
	s.http = &http.Server{Handler: s.store}
	go func() { _ = s.http.Serve(l) }() // ends with ErrServerClosed at the close
	for _, service := range services() {
		for _, zone := range []string{zoneA, zoneB} {
			if err := s.addServer(service, zone); err != nil {
				return s, err
			}
		}
	}
	s.publish(0)
	return s, s.startVMs(set)
}

// services returns the shards and the service of requests to one server.
func services() []string {
	list := []string{"jobs"}
	for n := range shardCount {
		list = append(list, fmt.Sprintf("shard-%d", n))
	}
	return list
}

func (s *site) startVMs(set Settings) error {
	free := newPorts(set.Seed)
	var seeds []netip.AddrPort
	for n := range vmCount {
		v := &vm{name: fmt.Sprintf("vm-%d", n), zone: []string{zoneA, zoneB}[n%2], command: set.Command, dir: set.Dir}
		for _, a := range []*netip.AddrPort{&v.front, &v.ready, &v.control} {
			var err error
			if *a, err = free.take(); err != nil {
				return err
			}
		}
		var err error
		if v.store, err = newProxy(s.address); err != nil {
			return err
		}
		seeds = append(seeds, v.control)
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if err := v.write(seeds); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server and writes its entry.
func (s *site) addServer(service, zone string) error {
	s.mu.Lock()
	s.number++
	id := fmt.Sprintf("i-%03d", s.number)
	s.mu.Unlock()
	srv, err := shard.New(id, service, zone, 3*time.Millisecond)
	if err != nil {
		return err
	}
	p, err := newProxy(srv.Address())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.servers = append(s.servers, &server{Server: srv, proxy: p})
	s.mu.Unlock()
	s.store.Put(srv.Key(), srv.EntryWithAddress(p.address(), "ready"))
	return nil
}

// publish writes a configuration with a number of further routes.
func (s *site) publish(extra int) {
	s.publishing.Lock() // versions reach the store in their order
	defer s.publishing.Unlock()
	s.version += 3
	version := s.version
	shards := services()[1:]
	list := []route{
		{Name: "look", Type: "idempotent", Gather: shards, TopK: topK, MinSuccess: 0.5},
		{Name: "job", Type: "idempotent", Service: "jobs"},
		{Name: "order", Type: "non_idempotent", Service: "jobs"},
	}
	for n := range extra {
		list = append(list, route{Name: fmt.Sprintf("extra-%d", n), Type: "idempotent", Service: "jobs"})
	}
	names := map[string]bool{}
	for i := range list {
		list[i].fill()
		names[list[i].Name] = true
	}
	var all []service
	for _, name := range services() {
		all = append(all, service{Name: name, HealthPath: "/health", MaxConnections: 30})
	}
	b, _ := json.Marshal(config{version, list, all, map[string]int{"maxBodyBytes": 4096, "idleTimeoutMs": 15000}}) // cannot fail
	s.history.mu.Lock()
	s.history.published = append(s.history.published, publication{time.Now(), names})
	s.history.mu.Unlock()
	s.store.Put("op/config", b)
}

// config is the operator's configuration, as far as the soak uses it.
type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

type route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Type        string   `json:"type"`
	TimeoutMs   int      `json:"timeoutMs"`
	TargetMs    int      `json:"targetLatencyMs"`
	MaxAttempts int      `json:"maxAttempts"`
	Service     string   `json:"service,omitempty"`
	Gather      []string `json:"gather,omitempty"`
	TopK        int      `json:"topK,omitempty"`
	MinSuccess  float64  `json:"minSuccessRatio,omitempty"`
}

// fill sets what all routes share.
func (r *route) fill() {
	r.Host, r.Prefix, r.MaxAttempts = host, "/"+r.Name+"/", 2
	r.TimeoutMs, r.TargetMs = int(deadline.Milliseconds()), 300
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
}

// live returns the servers that run and stay.
func (s *site) live() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.servers), func(srv *server) bool { return srv.gone })
}

// close ends everything that the soak started.
func (s *site) close() {
	for _, v := range s.vms {
		v.kill()
	}
	for _, srv := range s.servers {
		srv.proxy.close()
		srv.Close()
	}
	_ = s.http.Close()
	for _, v := range s.vms {
		v.store.close()
	}
}
