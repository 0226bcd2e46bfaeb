package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pistachioshore.dev/standin/shard"
)

// run is a request that a server began to run.
type run struct {
	shard.Execution
	server *server
}

// checker compares what clients saw with what servers ran.
type checker struct {
	history *history
	servers []*server
	runs    map[string][]run // by request id
	senders map[string]*vm   // that took a request from its client
	found   []string
}

// check returns the broken promises of a soak.
func (s *site) check() []string {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	c := &checker{history: s.history, servers: s.servers, runs: map[string][]run{}, found: slices.Clone(s.history.problems)}
	for _, srv := range s.servers {
		for _, r := range srv.Executions() {
			if r.RequestID != "" { // health checks have none
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
			c.broken("unasked: request %s ran %d times, and no client sent it", id, len(runs))
		}
		c.places(runs)
	}
	return c.found
}

func (c *checker) broken(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

// call checks one request.
func (c *checker) call(k call) {
	runs := c.runs[k.id]
	refused := k.status == http.StatusServiceUnavailable || k.status == http.StatusTooManyRequests
	switch {
	case k.route == "order" && len(runs) > 1:
		c.broken("twice: order %s ran %d times", k.id, len(runs))
	case k.route == "order" && refused && len(runs) > 0:
		c.broken("refused: order %s was answered %d and has run", k.id, k.status)
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

// answer checks that a good answer is whole, the request's own, and true about the shards that it lacks.
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
			c.broken("mixed: request %s (%s) got the signature %q, which is no other shard's answer to it", k.id, k.route, stamp)
			return
		}
		seen[srv.Service()] = true
		records = append(records, shard.Record(srv.ID(), k.path))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if body := bytes.Join(records[:min(len(records), topK)], nil); !bytes.Equal(body, k.body) || k.parts != want {
		c.broken("mixed: request %s (%s) got %q with %d shards, want %q of %d", k.id, k.route, k.body, k.parts, body, want)
	}
}

// signer returns the server that signed an answer to the request.
func (c *checker) signer(k call, stamp string) *server {
	for _, r := range c.runs[k.id] {
		if shard.Stamp(r.server.ID(), k.id, shard.Record(r.server.ID(), k.path)) == stamp {
			return r.server
		}
	}
	return nil
}

// lost checks that a planned stop, with no fault around it, leaves no request without an answer that had run.
func (c *checker) lost(k call, runs []run) {
	if k.status != 0 || len(runs) == 0 || !c.history.unharmed(k.sent, k.ended) || !c.history.calm(k.vm, k.sent, k.ended) {
		return
	}
	c.broken("lost: request %s (%s) ran, and its connection to %s ended after %v without an answer", k.id, k.route, k.vm.name, k.ended.Sub(k.sent))
}

// configured checks that routes are in force, or are no more, once their configuration is old enough.
func (c *checker) configured(k call) {
	var held []publication
	for _, p := range c.history.published {
		switch {
		case p.at.After(k.ended):
		case k.sent.Sub(p.at) >= apply+boundSlack || len(held) == 0:
			held = []publication{p}
		default: // it may have been in force while the request was under way
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
		c.broken("config: request %s got 404, and route %s is in force", k.id, k.route)
	case k.status == http.StatusOK && !may:
		c.broken("config: request %s was served on route %s, which is no more", k.id, k.route)
	}
}

// places checks that servers that leave or lie in an evacuated zone get nothing any more.
func (c *checker) places(runs []run) {
	for _, r := range runs {
		if !c.history.calm(c.senders[r.RequestID], r.StartedAt.Add(-evacuate), r.StartedAt) {
			continue
		}
		if at, ok := c.history.drained[r.server.ID()]; ok && r.StartedAt.Sub(at) > drain+boundSlack {
			c.broken("drain: server %s ran %s %v after it said that it leaves", r.server.ID(), r.RequestID, r.StartedAt.Sub(at).Round(time.Millisecond))
		}
		for _, s := range c.history.evacuate[r.server.Zone()] {
			if r.StartedAt.Before(s.to) && r.StartedAt.Sub(s.from) > evacuate+boundSlack {
				c.broken("evacuate: server %s ran %s %v after its zone was taken out", r.server.ID(), r.RequestID, r.StartedAt.Sub(s.from).Round(time.Millisecond))
			}
		}
	}
}
