package balancer

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/table"
)

// Chooser combines a policy with per-group latency estimates and the queue lengths that owner VMs
// report. The owner VM of an upstream is the one that queues and sends all requests to it. Chooser
// implements gather.Chooser, and all queries of a VM share one. It is safe for concurrent use.
type Chooser struct {
	policy  Policy[string]
	latency *LatencyEstimator
	queues  *table.Guarded[queueReports]
}

// queueReports holds the servers whose owner VM recently reported a queue.
type queueReports struct {
	latest   time.Time // newest time seen; HasQueue uses it because its caller passes no time
	byServer *table.TTLMap[string, int]
}

// NewChooser returns a chooser without any observations.
func NewChooser(p Policy[string], l *LatencyEstimator) *Chooser {
	q := queueReports{byServer: table.NewTTLMap[string, int](maxServers)}
	return &Chooser{policy: p, latency: l, queues: table.NewGuarded(table.RankBalancer, q)}
}

// Choose returns one of the candidates and counts an attempt to it as in flight. The caller must call
// Observe once for it, even if the attempt is never sent.
func (c *Chooser) Choose(now time.Time, r *rand.Rand, candidates []string) string {
	server := c.policy.Choose(now, r, candidates)
	c.policy.StartAttempt(now, server)
	c.queues.With(func(q *queueReports) { q.advance(now) })
	return server
}

// Observe records the outcome of an attempt for the group at the server.
func (c *Chooser) Observe(now time.Time, group, server string, o Observation) {
	c.policy.Observe(now, server, o)
	switch {
	case o.OK:
		c.latency.Observe(now, group, o.Elapsed)
	case !o.Shed:
		c.latency.ObserveAtLeast(now, group, o.Elapsed)
	}
	c.queues.With(func(q *queueReports) { q.observe(now, server, o) })
}

// HedgeDelay returns how long to wait for a shard result of the group before sending a hedge.
func (c *Chooser) HedgeDelay(group string) time.Duration {
	return c.latency.HedgeDelay(group)
}

// MedianLatency returns the median latency of shard results of the group.
func (c *Chooser) MedianLatency(group string) time.Duration {
	return c.latency.Median(group)
}

// HasQueue reports whether the owner VM of the server reported a queue with its last result. A report
// stays valid for 500 ms, measured against the newest time passed to Choose or Observe.
func (c *Chooser) HasQueue(server string) bool {
	return table.WithResult(c.queues, func(q *queueReports) bool {
		_, ok := q.byServer.Get(server, q.latest)
		return ok
	})
}

// advance moves the clock to now, never backwards.
func (q *queueReports) advance(now time.Time) {
	if now.After(q.latest) {
		q.latest = now
	}
}

// observe updates the queue report of the server. A cancelled attempt without a report proves nothing
// and leaves the last report in place.
func (q *queueReports) observe(now time.Time, server string, o Observation) {
	q.advance(now)
	switch {
	case o.QueueLength > 0:
		q.byServer.Put(server, o.QueueLength, now.Add(queueReportTTL))
	case !o.Cancelled:
		q.byServer.Delete(server)
	}
}
