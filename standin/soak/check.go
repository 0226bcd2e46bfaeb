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
type run struct {
	shard.Execution
	server *server
}

// checker compares what clients saw with what servers executed.
type checker struct {
	history *history
	servers []*server
	runs    map[string][]run // by request ID
	senders map[string]*vm   // VM that received the request from its client, by request ID
	found   []string
}

// check returns the violations of a soak.
func (s *site) check() []string {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	c := &checker{history: s.history, servers: s.servers, runs: map[string][]run{}, found: slices.Clone(s.history.problems)}
	for _, srv := range s.servers {
		for _, r := range srv.Executions() {
			if r.RequestID != "" { // health checks have no ID
				c.runs[r.RequestID] = append(c.runs[r.RequestID], run{r, srv})
			}
		}
	}
	c.senders = map[string]*vm{}
	for _, call := range s.history.calls {
		c.senders[call.id] = call.vm
		c.call(call)
	}
	for id, runs := range c.runs {
		if c.senders[id] == nil {
			c.broken("unsolicited: request %s was executed %d times, but no client sent it", id, len(runs))
		}
		c.places(runs)
	}
	return c.found
}

func (c *checker) broken(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

// checkRequest checks one request and its response.
func (c *checker) call(k call) {
	runs := c.runs[k.id]
	refused := k.status == http.StatusServiceUnavailable || k.status == http.StatusTooManyRequests
	switch {
	case k.route == "order" && len(runs) > 1:
		c.broken("duplicate: order %s was executed %d times", k.id, len(runs))
	case k.route == "order" && refused && len(runs) > 0:
		c.broken("refused: order %s got status %d, but was executed", k.id, k.status)
	}
	if k.status == http.StatusOK {
		c.answer(k)
	}
	if took := k.ended.Sub(k.sent); took > deadline+lateSlack && c.history.calm(k.vm, k.sent, k.ended) {
		c.broken("late: request %s (%s) took %v at %s", k.id, k.route, took.Round(time.Millisecond), k.vm.name)
	}
	c.lost(k, runs)
	c.configured(k)
}

// checkAnswer checks that a 200 response consists of records that servers returned for this very request, that
// they are complete, and that the number of missing shards is right.
func (c *checker) answer(k call) {
	stamps, want := k.stamps, shardCount
	if k.route != "look" {
		stamps, want = []string{k.stamp}, 0
	}
	var records [][]byte
	seen := map[string]bool{}
	for _, stamp := range stamps {
		srv := c.signer(k, stamp)
		if srv == nil || seen[srv.Service()] {
			c.broken("mixed: request %s (%s) got the signature %q, which is from no execution of it or from a shard that is included already", k.id, k.route, stamp)
			return
		}
		seen[srv.Service()] = true
		records = append(records, shard.Record(srv.ID(), k.path))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if body := bytes.Join(records[:min(len(records), topK)], nil); !bytes.Equal(body, k.body) || k.parts != want {
		c.broken("mixed: request %s (%s) got %q for %d shards, want %q for %d", k.id, k.route, k.body, k.parts, body, want)
	}
}

// signer returns the server whose response to the request has the signature, or nil.
func (c *checker) signer(k call, stamp string) *server {
	for _, r := range c.runs[k.id] {
		if shard.Stamp(r.server.ID(), k.id, shard.Record(r.server.ID(), k.path)) == stamp {
			return r.server
		}
	}
	return nil
}

// checkLost checks that no executed request lacks a response, unless a fault of its VM or of a server explains it.
// A planned stop of the VM does not.
func (c *checker) lost(k call, runs []run) {
	if k.status != 0 || len(runs) == 0 || !c.history.unharmed(k.sent, k.ended) || !c.history.calm(k.vm, k.sent, k.ended) {
		return
	}
	c.broken("lost: request %s (%s) was executed, but %s closed its connection after %v without a response", k.id, k.route, k.vm.name, k.ended.Sub(k.sent))
}

// checkRoute checks that the VM knew the routes of the current configuration, and no others. A configuration
// younger than the bound may or may not be in use.
func (c *checker) configured(k call) {
	var held []publication
	for _, p := range c.history.published {
		switch {
		case p.at.After(k.ended):
		case k.sent.Sub(p.at) >= apply+boundSlack || len(held) == 0:
			held = []publication{p}
		default: // it may have come into use while the request was in flight
			held = append(held, p)
		}
	}
	may, must := false, true
	for _, p := range held {
		may = may || p.routes[k.route]
		must = must && p.routes[k.route]
	}
	if !c.history.calm(k.vm, k.sent.Add(-apply), k.ended) {
		return
	}
	switch {
	case k.status == http.StatusNotFound && must:
		c.broken("config: request %s got 404, but route %s was configured", k.id, k.route)
	case k.status == http.StatusOK && !may:
		c.broken("config: request %s was served on route %s, which was removed", k.id, k.route)
	}
}

// checkPlacement checks that servers that drain, or are in an evacuated zone, get no requests once the bound
// has passed.
func (c *checker) places(runs []run) {
	for _, r := range runs {
		if !c.history.calm(c.senders[r.RequestID], r.StartedAt.Add(-evacuate), r.StartedAt) {
			continue
		}
		if at, ok := c.history.drained[r.server.ID()]; ok && r.StartedAt.Sub(at) > drain+boundSlack {
			c.broken("drain: server %s executed %s %v after its entry said draining", r.server.ID(), r.RequestID, r.StartedAt.Sub(at).Round(time.Millisecond))
		}
		for _, s := range c.history.evacuate[r.server.Zone()] {
			if r.StartedAt.Before(s.to) && r.StartedAt.Sub(s.from) > evacuate+boundSlack {
				c.broken("evacuate: server %s executed %s %v after its zone was evacuated", r.server.ID(), r.RequestID, r.StartedAt.Sub(s.from).Round(time.Millisecond))
			}
		}
	}
}
