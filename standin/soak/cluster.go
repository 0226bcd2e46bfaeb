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

// cluster is a tier of VMs, each in its own process, with the store and the servers that they reach through proxies.
type cluster struct {
	crashing       bool // requests are sent that stop each server that executes them
	extended       bool // further behaviours of servers and odd entries are drawn
	duplicating    bool // servers that answer twice are drawn
	store          *kv.Store
	storeServer    *http.Server
	storeAddress   netip.AddrPort
	vms            []*vm
	history        *history
	zoneBEvacuated atomic.Bool

	mu          sync.Mutex
	servers     []*server
	serverCount int // servers started so far

	publishMu     sync.Mutex // serializes publications
	configVersion int        // of the last configuration
	published     []byte     // the last configuration

	evacuateMu sync.Mutex // serializes evacuations
	evacuated  bool       // the operator has evacuated zone B
}

// server is one instance of a server, behind a proxy.
type server struct {
	*shard.Server
	proxy   *proxy
	removed bool // it crashed or drains
}

// newCluster starts the store, the servers and the VMs. If it fails after the store has started, it returns the
// partly started cluster with the error; the caller must close it.
func newCluster(set Settings) (*cluster, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	s := &cluster{
		extended: set.Seed >= firstExtendedSeed, crashing: set.Seed >= firstCrashingSeed, duplicating: set.Seed >= firstDuplicatingSeed,
		store: kv.New(), history: newHistory(), storeAddress: netip.MustParseAddrPort(l.Addr().String()),
	}
	if set.Seed >= firstRestoringSeed {
		s.store.StateEra(1)
	}
	s.storeServer = &http.Server{Handler: s.store}
	go func() { _ = s.storeServer.Serve(l) }() // returns ErrServerClosed on close
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

// services returns the names of the service for requests to a single server and of the shards, in this order.
func services() []string {
	list := []string{"jobs"}
	for n := range shardCount {
		list = append(list, fmt.Sprintf("shard-%d", n))
	}
	return list
}

func (s *cluster) startVMs(set Settings) error {
	ports := newPortAllocator(set.Seed)
	var seeds []netip.AddrPort
	for n := range vmCount {
		v := &vm{name: fmt.Sprintf("vm-%d", n), zone: []string{zoneA, zoneB}[n%2], command: set.Command, dir: set.Dir}
		for _, a := range []*netip.AddrPort{&v.frontAddress, &v.readyAddress, &v.controlAddress} {
			var err error
			if *a, err = ports.allocate(); err != nil {
				return err
			}
		}
		var err error
		if set.Seed >= firstRestoringSeed {
			if v.metricsAddress, err = ports.allocate(); err != nil {
				return err
			}
		}
		if v.storeProxy, err = newProxy(s.storeAddress); err != nil {
			return err
		}
		seeds = append(seeds, v.controlAddress)
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if err := v.writeSettings(seeds); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server with its proxy and writes its entry into the store.
func (s *cluster) addServer(service, zone string) error {
	s.mu.Lock()
	s.serverCount++
	id := fmt.Sprintf("i-%03d", s.serverCount)
	s.mu.Unlock()
	srv, err := shard.New(id, service, zone, 3*time.Millisecond)
	if err != nil {
		return err
	}
	p, err := newProxy(srv.Address())
	if err != nil {
		return err
	}
	added := &server{Server: srv, proxy: p}
	if s.crashing {
		s.startCrashingServer(added)
	}
	s.mu.Lock()
	s.servers = append(s.servers, added)
	s.mu.Unlock()
	s.store.Put(srv.Key(), srv.EntryWithAddress(p.address(), "ready"))
	return nil
}

// publish writes a configuration with a number of extra routes.
func (s *cluster) publish(extra int) {
	s.publishMu.Lock() // the versions must reach the store in ascending order
	defer s.publishMu.Unlock()
	s.configVersion += 3
	version := s.configVersion
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
		list[i].setCommon()
		names[list[i].Name] = true
	}
	var all []service
	for _, name := range services() {
		all = append(all, service{Name: name, HealthPath: "/health", MaxConnections: 30})
	}
	b, _ := json.Marshal(config{version, list, all, map[string]int{"maxBodyBytes": 4096, "idleTimeoutMs": 15000}}) // cannot fail
	s.history.mu.Lock()
	s.history.publications = append(s.history.publications, publication{time.Now(), names})
	s.history.mu.Unlock()
	s.published = b
	s.store.Put("op/config", b)
}

// config is the part of the operator's configuration that the soak sets.
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

// setCommon sets the fields that are alike for all routes.
func (r *route) setCommon() {
	r.Host, r.Prefix, r.MaxAttempts = host, "/"+r.Name+"/", 2
	r.TimeoutMs, r.TargetMs = int(requestDeadline.Milliseconds()), 300
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
}

// allServers returns the servers that were started so far. Servers that crash are replaced by timers until the soak ends.
func (s *cluster) allServers() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.servers)
}

// liveServers returns the servers that neither crashed nor drain.
func (s *cluster) liveServers() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.servers), func(srv *server) bool { return srv.removed })
}

// markRemoved records that a server drains or has crashed. It returns false if that was recorded before.
func (s *cluster) markRemoved(srv *server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alreadyRemoved := srv.removed
	srv.removed = true
	return !alreadyRemoved
}

// close stops everything that the soak started.
func (s *cluster) close() {
	for _, v := range s.vms {
		v.kill()
	}
	for _, srv := range s.allServers() {
		srv.proxy.close()
		srv.Close()
	}
	_ = s.storeServer.Close()
	for _, v := range s.vms {
		v.storeProxy.close()
	}
}
