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
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	c := &checker{history: s.history, servers: s.servers, executions: map[string][]execution{}, violations: slices.Clone(s.history.violations)}
	for _, srv := range s.servers {
		for _, r := range srv.Executions() {
			if r.RequestID != "" { // health checks have no ID
				c.executions[r.RequestID] = append(c.executions[r.RequestID], execution{r, srv})
			}
		}
	}
	c.vms = map[string]*vm{}
	for _, call := range s.history.requests {
		c.vms[call.id] = call.vm
		c.checkRequest(call)
	}
	for id, runs := range c.executions {
		if c.vms[id] == nil {
			c.addViolation("unsolicited: request %s was executed %d times, but no client sent it", id, len(runs))
		}
		c.checkPlacement(runs)
	}
	return c.violations
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkRequest checks one request and its response.
func (c *checker) checkRequest(k clientRequest) {
	runs := c.executions[k.id]
	refused := k.status == http.StatusServiceUnavailable || k.status == http.StatusTooManyRequests
	switch {
	case k.route == "order" && len(runs) > 1:
		c.addViolation("duplicate: order %s was executed %d times", k.id, len(runs))
	case k.route == "order" && refused && len(runs) > 0:
		c.addViolation("refused: order %s got status %d, but was executed", k.id, k.status)
	}
	if k.status == http.StatusOK {
		c.checkAnswer(k)
	}
	if took := k.endedAt.Sub(k.sentAt); took > requestDeadline+lateSlack && c.history.vmHealthy(k.vm, k.sentAt, k.endedAt) {
		c.addViolation("late: request %s (%s) took %v at %s", k.id, k.route, took.Round(time.Millisecond), k.vm.name)
	}
	c.checkLost(k, runs)
	c.checkRoute(k)
}

// checkAnswer checks that a 200 response consists of records that servers returned for this very request, that
// they are complete, and that the number of missing shards is right.
func (c *checker) checkAnswer(k clientRequest) {
	stamps, want := k.stamps, shardCount
	if k.route != "look" {
		stamps, want = []string{k.stamp}, 0
	}
	var records [][]byte
	seen := map[string]bool{}
	for _, stamp := range stamps {
		srv := c.signer(k, stamp)
		if srv == nil || seen[srv.Service()] {
			c.addViolation("mixed: request %s (%s) got the signature %q, which is from no execution of it or from a shard that is included already", k.id, k.route, stamp)
			return
		}
		seen[srv.Service()] = true
		records = append(records, shard.Record(srv.ID(), k.path))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if body := bytes.Join(records[:min(len(records), topK)], nil); !bytes.Equal(body, k.body) || k.shards != want {
		c.addViolation("mixed: request %s (%s) got %q for %d shards, want %q for %d", k.id, k.route, k.body, k.shards, body, want)
	}
}

// signer returns the server whose response to the request has the signature, or nil.
func (c *checker) signer(k clientRequest, stamp string) *server {
	for _, r := range c.executions[k.id] {
		if shard.Stamp(r.server.ID(), k.id, shard.Record(r.server.ID(), k.path)) == stamp {
			return r.server
		}
	}
	return nil
}

// checkLost checks that no executed request lacks a response, unless a fault of its VM or of a server explains it.
// A planned stop of the VM does not.
func (c *checker) checkLost(k clientRequest, runs []execution) {
	if k.status != 0 || len(runs) == 0 || !c.history.serversHealthy(k.sentAt, k.endedAt) || !c.history.vmHealthy(k.vm, k.sentAt, k.endedAt) {
		return
	}
	c.addViolation("lost: request %s (%s) was executed, but %s closed its connection after %v without a response", k.id, k.route, k.vm.name, k.endedAt.Sub(k.sentAt))
}

// checkRoute checks that the VM knew the routes of the current configuration, and no others. A configuration
// younger than the bound may or may not be in use.
func (c *checker) checkRoute(k clientRequest) {
	var inUse []publication
	for _, p := range c.history.publications {
		switch {
		case p.publishedAt.After(k.endedAt):
		case k.sentAt.Sub(p.publishedAt) >= configBound+boundSlack || len(inUse) == 0:
			inUse = []publication{p}
		default: // it may have come into use while the request was in flight
			inUse = append(inUse, p)
		}
	}
	may, must := false, true
	for _, p := range inUse {
		may = may || p.routes[k.route]
		must = must && p.routes[k.route]
	}
	if !c.history.vmHealthy(k.vm, k.sentAt.Add(-configBound), k.endedAt) {
		return
	}
	switch {
	case k.status == http.StatusNotFound && must:
		c.addViolation("config: request %s got 404, but route %s was configured", k.id, k.route)
	case k.status == http.StatusOK && !may:
		c.addViolation("config: request %s was served on route %s, which was removed", k.id, k.route)
	}
}

// checkPlacement checks that servers that drain, or are in an evacuated zone, get no requests once the bound
// has passed.
func (c *checker) checkPlacement(runs []execution) {
	for _, r := range runs {
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
