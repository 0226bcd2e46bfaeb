package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pistachioshore.dev/standin/shard"
)

// execution is a request that a server began to execute.
type execution struct {
	shard.Execution
	server *server
}

// checker compares what clients saw with what servers executed.
type checker struct {
	history    *history
	servers    []*server
	executions map[string][]execution // by request ID
	vms        map[string]*vm         // VM that received the request from its client, by request ID
	violations []string
}

// check returns the violations of a soak.
func (s *cluster) check() []string {
	servers := s.allServers()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	c := &checker{history: s.history, servers: servers, executions: map[string][]execution{}, violations: slices.Clone(s.history.violations)}
	for _, srv := range servers {
		for _, r := range srv.Executions() {
			if r.RequestID != "" { // health checks have no ID
				c.executions[r.RequestID] = append(c.executions[r.RequestID], execution{r, srv})
			}
		}
	}
	c.vms = map[string]*vm{}
	for _, req := range s.history.requests {
		c.vms[req.id] = req.vm
		c.checkRequest(req)
	}
	for id, executions := range c.executions {
		if c.vms[id] == nil {
			c.addViolation("unsolicited: request %s was executed %d times, but no client sent it", id, len(executions))
		}
		c.checkPlacement(executions)
	}
	c.checkCrashing()
	return c.violations
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkRequest checks one request and its response.
func (c *checker) checkRequest(req clientRequest) {
	executions := c.executions[req.id]
	refused := req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests
	switch {
	case req.route == "order" && len(executions) > 1:
		c.addViolation("duplicate: order %s was executed %d times", req.id, len(executions))
	case req.route == "order" && refused && len(executions) > 0:
		c.addViolation("refused: order %s got status %d, but was executed", req.id, req.status)
	}
	if req.status == http.StatusOK {
		c.checkAnswer(req)
	}
	if took := req.endedAt.Sub(req.sentAt); took > requestDeadline+lateSlack && c.history.vmHealthy(req.vm, req.sentAt, req.endedAt) {
		c.addViolation("late: request %s (%s) took %v at %s", req.id, req.route, took.Round(time.Millisecond), req.vm.name)
	}
	c.checkLost(req, executions)
	c.checkRoute(req)
}

// checkAnswer checks that each signature in a 200 response is from the execution of this request at a different
// shard, that the body has exactly the records of these executions, and that the number of shards is right.
func (c *checker) checkAnswer(req clientRequest) {
	stamps, want := req.stamps, shardCount
	if req.route != "look" {
		stamps, want = []string{req.stamp}, 0
	}
	var records [][]byte
	seen := map[string]bool{}
	for _, stamp := range stamps {
		srv := c.signer(req, stamp)
		if srv == nil || seen[srv.Service()] {
			c.addViolation("mixed: request %s (%s) got the signature %q, which is from no execution of it or from a shard that is included already", req.id, req.route, stamp)
			return
		}
		seen[srv.Service()] = true
		records = append(records, shard.Record(srv.ID(), req.path))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if body := bytes.Join(records[:min(len(records), topK)], nil); !bytes.Equal(body, req.body) || req.shards != want {
		c.addViolation("mixed: request %s (%s) got %q for %d shards, want %q for %d", req.id, req.route, req.body, req.shards, body, want)
	}
}

// signer returns the server whose response to the request has the signature, or nil.
func (c *checker) signer(req clientRequest, stamp string) *server {
	for _, r := range c.executions[req.id] {
		if shard.Stamp(r.server.ID(), req.id, shard.Record(r.server.ID(), req.path)) == stamp {
			return r.server
		}
	}
	return nil
}

// checkLost checks that no executed request lacks a response, unless a fault of its VM or of a server explains it.
// A planned stop of the VM does not.
func (c *checker) checkLost(req clientRequest, executions []execution) {
	if req.status != 0 || len(executions) == 0 || !c.history.serversHealthy(req.sentAt, req.endedAt) || !c.history.vmHealthy(req.vm, req.sentAt, req.endedAt) {
		return
	}
	c.addViolation("lost: request %s (%s) was executed, but %s closed its connection after %v without a response", req.id, req.route, req.vm.name, req.endedAt.Sub(req.sentAt))
}

// checkRoute checks that the VM knew the routes of the current configuration, and no others. A configuration
// younger than the bound may or may not be in use.
func (c *checker) checkRoute(req clientRequest) {
	var inUse []publication
	for _, p := range c.history.publications {
		switch {
		case p.publishedAt.After(req.endedAt):
		case req.sentAt.Sub(p.publishedAt) >= configBound+boundSlack || len(inUse) == 0:
			inUse = []publication{p}
		default: // it may have come into use while the request was in flight
			inUse = append(inUse, p)
		}
	}
	inAny, inAll := false, true
	for _, p := range inUse {
		inAny = inAny || p.routes[req.route]
		inAll = inAll && p.routes[req.route]
	}
	if !c.history.vmHealthy(req.vm, req.sentAt.Add(-configBound), req.endedAt) {
		return
	}
	switch {
	case req.status == http.StatusNotFound && inAll:
		c.addViolation("config: request %s got 404, but route %s was configured", req.id, req.route)
	case req.status == http.StatusOK && !inAny:
		c.addViolation("config: request %s was served on route %s, which was removed", req.id, req.route)
	}
}

// checkPlacement checks that servers that drain, or are in an evacuated zone, get no requests once the bound
// has passed.
func (c *checker) checkPlacement(executions []execution) {
	for _, r := range executions {
		if !c.history.vmHealthy(c.vms[r.RequestID], r.StartedAt.Add(-evacuationBound), r.StartedAt) {
			continue
		}
		if at, ok := c.history.drainedAt[r.server.ID()]; ok && r.StartedAt.Sub(at) > drainBound+boundSlack {
			c.addViolation("drain: server %s executed %s %v after its entry said draining", r.server.ID(), r.RequestID, r.StartedAt.Sub(at).Round(time.Millisecond))
		}
		for _, s := range c.history.evacuations[r.server.Zone()] {
			if r.StartedAt.Before(s.to) && r.StartedAt.Sub(s.from) > evacuationBound+boundSlack {
				c.addViolation("evacuate: server %s executed %s %v after its zone was evacuated", r.server.ID(), r.RequestID, r.StartedAt.Sub(s.from).Round(time.Millisecond))
			}
		}
	}
}
