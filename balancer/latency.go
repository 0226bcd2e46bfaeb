package balancer

import (
	"time"

	"pistachioshore.dev/table"
)

// LatencyEstimator tracks the latency distribution of shard results for each group. It is safe for
// concurrent use.
type LatencyEstimator struct {
	groups *table.Guarded[map[string]*groupTimes]
	s      LatencySettings
}

// groupTimes holds the latency histogram of one group and the percentiles last computed from it.
type groupTimes struct {
	histogram histogram
	refreshed time.Time
	hedge     time.Duration
	typical   time.Duration
}

// NewLatencyEstimator returns an estimator without any samples.
func NewLatencyEstimator(s LatencySettings) *LatencyEstimator {
	return &LatencyEstimator{groups: table.NewGuarded(table.RankBalancer, map[string]*groupTimes{}), s: s}
}

// Observe records the latency of a completed shard result.
func (l *LatencyEstimator) Observe(now time.Time, group string, elapsed time.Duration) {
	l.groups.With(func(m *map[string]*groupTimes) { l.group(*m, group).observe(now, elapsed, l.s) })
}

// ObserveAtLeast records an attempt that was abandoned after elapsed, so that its latency is known
// only to be at least that long. Attempts abandoned before the hedge delay are ignored, because they
// carry no information about the 95th percentile. Later ones must count, or each hedge would lower
// the percentile.
func (l *LatencyEstimator) ObserveAtLeast(now time.Time, group string, elapsed time.Duration) {
	l.groups.With(func(m *map[string]*groupTimes) {
		if g := l.group(*m, group); elapsed >= g.hedge {
			g.observe(now, elapsed, l.s)
		}
	})
}

// HedgeDelay returns the 95th percentile of the group's latency. The histogram overestimates it by at
// most 9.1%.
func (l *LatencyEstimator) HedgeDelay(group string) time.Duration {
	return table.WithResult(l.groups, func(m *map[string]*groupTimes) time.Duration {
		if g, ok := (*m)[group]; ok {
			return g.hedge
		}
		return l.s.DefaultHedgeDelay
	})
}

// Median returns the median of the group's latency. The histogram overestimates it by at most 9.1%.
func (l *LatencyEstimator) Median(group string) time.Duration {
	return table.WithResult(l.groups, func(m *map[string]*groupTimes) time.Duration {
		if g, ok := (*m)[group]; ok {
			return g.typical
		}
		return l.s.DefaultMedian
	})
}

// group returns the state of the named group and creates it if needed. Once maxGroups are tracked, a
// new group evicts the one with the oldest sample.
func (l *LatencyEstimator) group(m map[string]*groupTimes, name string) *groupTimes {
	if g, ok := m[name]; ok {
		return g
	}
	if len(m) >= maxGroups {
		delete(m, oldest(m))
	}
	g := &groupTimes{hedge: l.s.DefaultHedgeDelay, typical: l.s.DefaultMedian}
	m[name] = g
	return g
}

// oldest returns the name of the group whose latest sample is the oldest.
func oldest(m map[string]*groupTimes) string {
	var found string
	var at time.Time
	for name, g := range m {
		if found == "" || g.histogram.last.Before(at) {
			found, at = name, g.histogram.last
		}
	}
	return found
}

// observe adds a sample and recomputes the percentiles if they are due.
func (g *groupTimes) observe(now time.Time, elapsed time.Duration, s LatencySettings) {
	g.histogram.add(now, elapsed, s.HalfLife)
	due := !now.Before(g.refreshed.Add(refreshEvery)) || g.histogram.samples == minSamples
	if g.histogram.samples < minSamples || !due {
		return
	}
	g.refreshed = now
	g.hedge = max(g.histogram.quantile(0.95), s.MinHedgeDelay)
	g.typical = g.histogram.quantile(0.5)
}
