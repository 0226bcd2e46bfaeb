package forward

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
)

// splitQuery is a query over shards whose parts are fanned out by several VMs. This VM merges their answers.
type splitQuery struct {
	vm          *VM
	req         *Request
	cfg         *route.Config
	route       *route.Route
	fingerprint uint64
	parts       []part
	updates     chan partUpdate
}

// partUpdate is the present answer to a part. It is not final while shards are missing that may still answer.
type partUpdate struct {
	part   int
	answer Answer
	final  bool
}

// partition returns the parts of a query over shards, or nil if this VM fans out all of it.
func (vm *VM) partition(req *Request, r *route.Route) []part {
	if vm.relay == nil || req.Relayed || !r.Sharded() {
		return nil
	}
	now := time.Now()
	unreachable := vm.replicas.UnreachableZones(now)
	remote := slices.DeleteFunc(vm.relay.Zones(now), func(zone string) bool { return slices.Contains(unreachable, zone) })
	if len(remote) == 0 {
		return nil
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	p := partitioner{zone: vm.settings.Zone, fansOut: vm.relay.FansOut(), remote: remote}
	zones := vm.replicas.UsableZones(now, r.Shards, r.Regions)
	if usable := len(zones) - countEmpty(zones); usable < requiredShards(r.MinCoverage, len(zones)) {
		return nil // the plan of the whole query refuses it
	}
	parts := p.partition(zones)
	if len(parts) == 1 && parts[0].zone == "" {
		return nil
	}
	return parts
}

// countEmpty returns the number of empty lists.
func countEmpty(lists [][]string) int {
	n := 0
	for _, l := range lists {
		if len(l) == 0 {
			n++
		}
	}
	return n
}

func newSplitQuery(vm *VM, req *Request, cfg *route.Config, r *route.Route, fingerprint uint64, parts []part) *splitQuery {
	return &splitQuery{vm: vm, req: req, cfg: cfg, route: r, fingerprint: fingerprint, parts: parts, updates: make(chan partUpdate, 2*len(parts))}
}

// run has the parts fanned out and returns the merged answer.
func (s *splitQuery) run(ctx context.Context) Answer {
	partCtx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	for i := range s.parts {
		work.Go(func() { s.finish(partCtx, partUpdate{part: i, answer: s.servePart(partCtx, i), final: true}) })
	}
	return s.collect(ctx)
}

// finish passes on the final answer to a part, unless the query has ended.
func (s *splitQuery) finish(ctx context.Context, u partUpdate) {
	select {
	case s.updates <- u:
	case <-ctx.Done():
	}
}

// reportProgress passes on the present answer to a part without blocking. A later one replaces one that is dropped.
func (s *splitQuery) reportProgress(u partUpdate) {
	select {
	case s.updates <- u:
	default:
	}
}

// collect waits until all parts are final, until the time of the answer if the shards that have answered by then
// suffice, or until the deadline.
func (s *splitQuery) collect(ctx context.Context) Answer {
	answers := make([]Answer, len(s.parts))
	end := deadline(s.req, s.route)
	dueAt := answerBy(s.req, s.route)
	if dueAt.IsZero() {
		dueAt = end
	}
	due := time.NewTimer(time.Until(dueAt.Add(-mergeReserve)))
	defer due.Stop()
	deadlinePassed := time.NewTimer(time.Until(end))
	defer deadlinePassed.Stop()
	isDue := false
	final := make([]bool, len(s.parts))
	for !s.ended(answers, final, isDue) {
		select {
		case u := <-s.updates:
			final[u.part] = u.final
			if len(u.answer.Stamps) >= len(answers[u.part].Stamps) { // what a lost aggregator had reported stays
				answers[u.part] = u.answer
			}
		case <-due.C:
			isDue = true
		case <-deadlinePassed.C:
			return s.merge(answers)
		case <-s.vm.ending:
			return s.merge(answers)
		case <-ctx.Done():
			s.vm.stats.recordDisconnect()
			s.vm.events.Record(event.RequestAbandoned, s.eventFields()...)
			return Answer{Code: result.Cancelled}
		}
	}
	return s.merge(answers)
}

// ended reports whether the query can be answered: when all parts are final, when enough shards are covered and the answer
// is due, or when too few shards can still be covered.
func (s *splitQuery) ended(answers []Answer, final []bool, isDue bool) bool {
	possible, covered, pending := 0, 0, false
	for i, a := range answers {
		covered += len(a.Stamps)
		if final[i] {
			possible += len(a.Stamps)
		} else {
			possible += len(s.parts[i].shards)
			pending = true
		}
	}
	return !pending || possible < s.required() || (isDue && covered >= s.required())
}

// required returns the number of shards that an answer must cover.
func (s *splitQuery) required() int {
	return requiredShards(s.route.MinCoverage, len(s.route.Shards))
}

func (s *splitQuery) covered(answers []Answer) int {
	n := 0
	for _, a := range answers {
		n += len(a.Stamps)
	}
	return n
}

// servePart returns the final answer to a part: from an aggregator of its zone, or from this VM if there is none that
// accepts it.
func (s *splitQuery) servePart(ctx context.Context, i int) (a Answer) {
	defer s.vm.containPanic(s.req, &a)
	p := s.parts[i]
	req := *s.req
	req.Shards = p.shards
	req.OnProgress = func(a Answer) { s.reportProgress(partUpdate{part: i, answer: a}) }
	for _, zone := range s.relayZones(p) {
		limits := RelayLimits{ConfigVersion: s.cfg.Version, Deadline: deadline(&req, s.route), MaxAttempts: s.route.MaxAttempts}
		a, peer, ok := s.vm.relay.Relay(ctx, &req, zone, limits)
		if ok {
			s.recordRelayed(a, peer, zone, p)
			return a
		}
	}
	q := newQuery(s.vm, &req, s.cfg, s.route, s.fingerprint)
	if denied := q.plan(); denied.code != 0 {
		return Answer{Code: denied.code, RetryAfter: denied.retryAfter, Sharded: true}
	}
	return q.run(ctx)
}

// relayZones returns the zones whose aggregators may fan out a part, in order. A VM that fans out no parts turns to its own
// zone if the zone of the part does not accept it: the aggregators there have connections to the upstreams, and know
// which zones do not answer.
func (s *splitQuery) relayZones(p part) []string {
	own := s.vm.settings.Zone
	switch {
	case p.zone == "":
		return nil
	case p.zone == own || s.vm.relay.FansOut():
		return []string{p.zone}
	default:
		return []string{p.zone, own}
	}
}

func (s *splitQuery) recordRelayed(a Answer, peer netip.AddrPort, zone string, p part) {
	s.vm.events.Record(event.QueryRelayed, s.eventFields(event.F(event.Peer, peer), event.F(event.Zone, zone), event.F(event.Code, a.Code),
		event.F(event.CoveredShards, len(a.Stamps)), event.F(event.Shards, len(p.shards)))...)
}

// merge returns the answer to the query from those to its parts.
func (s *splitQuery) merge(answers []Answer) Answer {
	out := Answer{Sharded: true}
	covered := s.covered(answers)
	if covered == 0 || covered < s.required() {
		out.Code, out.RetryAfter = s.failure(answers)
		s.record(out, covered)
		return out
	}
	out.Missing = len(s.route.Shards) - covered
	out.Code = result.Complete
	if out.Missing > 0 {
		out.Code = result.Partial
	}
	bodies := make([][]byte, 0, len(answers))
	out.Stamps = make([]string, 0, covered)
	for _, a := range answers {
		bodies = append(bodies, a.Records)
		out.Stamps = append(out.Stamps, a.Stamps...)
	}
	out.Records = topRecords(bodies, s.route.TopK)
	s.record(out, covered)
	return out
}

// failure returns the code and the Retry-After of a query that covers too few shards. The code's effect is NotRun only if
// no part may have run.
func (s *splitQuery) failure(answers []Answer) (code result.Code, retry time.Duration) {
	for _, a := range answers {
		retry = max(retry, a.RetryAfter)
		switch {
		case a.Code == 0 || a.Code.HasAnswer(): // not final, or covers some of its shards
			if code == 0 || code.Effect() == result.NotRun {
				code = result.Late
			}
		case code == 0 || (code.Effect() == result.NotRun && a.Code.Effect() != result.NotRun):
			code = a.Code
		}
	}
	if code.Effect() != result.NotRun {
		return code, 0
	}
	return code, max(retry, retryAfter(code))
}

// record counts and logs the answer.
func (s *splitQuery) record(a Answer, covered int) {
	s.vm.stats.recordRequest(s.route.Name, a.Code, time.Since(s.req.ReceivedAt))
	s.vm.events.Record(answerEvent(a.Code), s.eventFields(event.F(event.Code, a.Code), event.F(event.CoveredShards, covered),
		event.F(event.Shards, len(s.route.Shards)), event.F(event.Count, len(s.parts)), event.F(event.Delay, a.RetryAfter))...)
}

func (s *splitQuery) eventFields(more ...event.Field) []event.Field {
	return requestFields(s.vm, s.req, s.cfg, s.route, more)
}
