package balancer

import (
	"time"

	"pistachioshore.dev/table"
)

// LatencyEstimator tracks the latency distribution of shard results for each group. The caller
// chooses the groups, for example one for each route. It is safe for concurrent use.
type LatencyEstimator struct {
	groups   *table.Guarded[map[string]*groupLatency]
	settings LatencySettings
}

// groupLatency holds the latency histogram of one group and the percentiles last computed from it.
type groupLatency struct {
	histogram   histogram
	refreshedAt time.Time
	hedgeDelay  time.Duration
	median      time.Duration
}

// NewLatencyEstimator returns an estimator without any samples.
func NewLatencyEstimator(s LatencySettings) *LatencyEstimator {
	return &LatencyEstimator{groups: table.NewGuarded(table.RankBalancer, map[string]*groupLatency{}), settings: s}
}

// Observe records the latency of a completed shard result.
func (l *LatencyEstimator) Observe(now time.Time, group string, elapsed time.Duration) {
	l.groups.With(func(m *map[string]*groupLatency) { l.group(*m, group).observe(now, elapsed, l.settings) })
}

// ObserveAtLeast records an attempt that was abandoned after elapsed, so that its latency is known
// only to be at least that long. Attempts abandoned before the hedge delay are ignored, because they
// carry no information about the 95th percentile. Later ones must count, or each hedge would lower
// the percentile.
func (l *LatencyEstimator) ObserveAtLeast(now time.Time, group string, elapsed time.Duration) {
	l.groups.With(func(m *map[string]*groupLatency) {
		if g := l.group(*m, group); elapsed >= g.hedgeDelay {
			g.observe(now, elapsed, l.settings)
		}
	})
}

// HedgeDelay returns the 95th percentile of the group's latency. The histogram overestimates it by at
// most 9.1%.
func (l *LatencyEstimator) HedgeDelay(group string) time.Duration {
	return table.WithResult(l.groups, func(m *map[string]*groupLatency) time.Duration {
		if g, ok := (*m)[group]; ok {
			return g.hedgeDelay
		}
		return l.settings.DefaultHedgeDelay
	})
}

// Median returns the median of the group's latency. The histogram overestimates it by at most 9.1%.
func (l *LatencyEstimator) Median(group string) time.Duration {
	return table.WithResult(l.groups, func(m *map[string]*groupLatency) time.Duration {
		if g, ok := (*m)[group]; ok {
			return g.median
		}
		return l.settings.DefaultMedian
	})
}

// Learned reports whether the group has enough samples for estimates of its own.
func (l *LatencyEstimator) Learned(group string) bool {
	return table.WithResult(l.groups, func(m *map[string]*groupLatency) bool {
		g, ok := (*m)[group]
		return ok && g.histogram.samples >= minSamples
	})
}

// group returns the state of the named group and creates it if needed. Once maxGroups are tracked, a
// new group evicts the one with the oldest sample.
func (l *LatencyEstimator) group(m map[string]*groupLatency, name string) *groupLatency {
	if g, ok := m[name]; ok {
		return g
	}
	if len(m) >= maxGroups {
		delete(m, leastRecentGroup(m))
	}
	g := &groupLatency{hedgeDelay: l.settings.DefaultHedgeDelay, median: l.settings.DefaultMedian}
	m[name] = g
	return g
}

// leastRecentGroup returns the name of the group whose latest sample is the oldest.
func leastRecentGroup(m map[string]*groupLatency) string {
	var oldestName string
	var oldestSample time.Time
	for name, g := range m {
		if oldestName == "" || g.histogram.lastSample.Before(oldestSample) {
			oldestName, oldestSample = name, g.histogram.lastSample
		}
	}
	return oldestName
}

// observe adds a sample and recomputes the percentiles if they are due.
func (g *groupLatency) observe(now time.Time, elapsed time.Duration, settings LatencySettings) {
	g.histogram.add(now, elapsed, settings.HalfLife)
	refreshDue := !now.Before(g.refreshedAt.Add(refreshInterval)) || g.histogram.samples == minSamples
	if g.histogram.samples < minSamples || !refreshDue {
		return
	}
	g.refreshedAt = now
	g.hedgeDelay = max(g.histogram.quantile(0.95), settings.MinHedgeDelay)
	g.median = g.histogram.quantile(0.5)
}
