package forward

import (
	"slices"
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
)

// OnDraining sets the function to call when an upstream has told this VM, before any other VM did, that it drains.
func (vm *VM) OnDraining(notify func(server string, startedAt time.Time)) {
	vm.onDraining = notify
}

// RecordNotice applies what an upstream has said about itself in a response to this VM.
func (vm *VM) RecordNotice(s route.Server, n replica.Notice) {
	if vm.replicas.RecordLimit(time.Now(), s, n.Limit) {
		vm.events.Record(event.UpstreamLimited, event.F(event.Server, s.ID), event.F(event.Service, s.Service), event.F(event.Zone, s.Zone),
			event.F(event.Limit, n.Limit))
	}
	if !n.Draining && n.Rest == 0 {
		return
	}
	if !vm.replicas.RecordNotice(time.Now(), s, n) {
		return
	}
	if n.Draining {
		vm.recordDraining(s.ID, "response")
		vm.onDraining(s.ID, s.StartedAt)
	}
	if n.Rest > 0 {
		vm.events.Record(event.UpstreamResting, event.F(event.Server, s.ID), event.F(event.Service, s.Service), event.F(event.Zone, s.Zone),
			event.F(event.Delay, n.Rest))
	}
}

// RecordDraining records that an upstream has told another VM that it drains. It reports whether this was not known
// before.
func (vm *VM) RecordDraining(server string, startedAt time.Time) bool {
	if !vm.replicas.RecordDraining(time.Now(), server, startedAt) {
		return false
	}
	vm.recordDraining(server, "another VM")
	return true
}

// SaidDraining returns the upstreams that have said that they drain, to this VM or to another one.
func (vm *VM) SaidDraining() []route.Server {
	return vm.replicas.SaidDraining()
}

func (vm *VM) recordDraining(server, source string) {
	vm.events.Record(event.UpstreamDraining, event.F(event.Server, server), event.F(event.Reason, source))
}

// restDelay returns the time until enough upstreams that rest, or have reached their request limit, may receive requests
// again to serve the route, or 0 if they are not what the route lacks.
func (q *query) restDelay(now time.Time) time.Duration {
	missing := requiredShards(q.minCoverage(), len(q.shards)) - len(q.shards)
	var ends []time.Time
	for _, shard := range q.shards {
		if len(q.vm.replicas.Candidates(now, shard.Service, q.route.Regions, q.route.Idempotent)) > 0 {
			continue
		}
		missing++
		if rests := q.vm.replicas.NextAvailable(now, shard.Service, q.route.Regions); len(rests) > 0 {
			ends = append(ends, rests[0])
		}
	}
	if missing < 1 || missing > len(ends) {
		return 0
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[missing-1].Sub(now)
}

// refusalDelay returns the Retry-After of a refusal with the given code.
func (q *query) refusalDelay(code result.Code) time.Duration {
	q.mu.Lock()
	wait := q.retryAfter
	q.mu.Unlock()
	return max(retryAfter(code), q.restDelay(time.Now()), wait)
}
