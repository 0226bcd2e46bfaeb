package balancer

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/table"
)

// Chooser picks replicas by a policy and knows the times of each group; it implements
// gather.Chooser, and all queries of a VM share one. It is safe for concurrent use.
type Chooser struct {
	policy  Policy[string]
	latency *LatencyEstimator
	queues  *table.Guarded[queues]
}

type queues struct {
	latest time.Time // newest time seen, because Queued is asked without one
	queued *table.TTLMap[string, int]
}

// NewChooser returns a chooser that has seen no results.
func NewChooser(p Policy[string], l *LatencyEstimator) *Chooser {
	q := queues{queued: table.NewTTLMap[string, int](maxServers)}
	return &Chooser{policy: p, latency: l, queues: table.NewGuarded(table.RankBalancer, q)}
}

// Choose returns one of the candidates and counts an attempt at it as in flight, which has to be
// followed by one Observe, also when the attempt was never sent.
func (c *Chooser) Choose(now time.Time, r *rand.Rand, candidates []string) string {
	server := c.policy.Choose(now, r, candidates)
	c.policy.StartAttempt(now, server)
	c.queues.With(func(q *queues) { q.advance(now) })
	return server
}

// Observe takes how an attempt of the group ended at the server.
func (c *Chooser) Observe(now time.Time, group, server string, o Observation) {
	c.policy.Observe(now, server, o)
	switch {
	case o.OK:
		c.latency.Observe(now, group, o.Elapsed)
	case !o.Shed:
		c.latency.ObserveAtLeast(now, group, o.Elapsed)
	}
	c.queues.With(func(q *queues) { q.observe(now, server, o) })
}

// HedgeDelay returns how long a shard result of the group may take before a hedge is worth its cost.
func (c *Chooser) HedgeDelay(group string) time.Duration {
	return c.latency.HedgeDelay(group)
}

// MedianLatency returns the median time of a shard result of the group.
func (c *Chooser) MedianLatency(group string) time.Duration {
	return c.latency.Median(group)
}

// HasQueue reports whether the last attempt that ended at the server found a queue. A report is
// believed for 500 ms, up to the newest time that Choose or Observe was called with.
func (c *Chooser) HasQueue(server string) bool {
	return table.WithResult(c.queues, func(q *queues) bool {
		_, ok := q.queued.Get(server, q.latest)
		return ok
	})
}

func (q *queues) advance(now time.Time) {
	if now.After(q.latest) {
		q.latest = now
	}
}

func (q *queues) observe(now time.Time, server string, o Observation) {
	q.advance(now)
	switch {
	case o.QueueLength > 0:
		q.queued.Put(server, o.QueueLength, now.Add(queuedFor))
	case !o.Cancelled:
		q.queued.Delete(server)
	}
}
