package balancer

import (
	"time"

	"pistachioshore.dev/table"
)

// LatencyEstimator estimates how long shard results of each group take; it is safe for concurrent use.
type LatencyEstimator struct {
	groups *table.Guarded[map[string]*groupTimes]
	s      LatencySettings
}

type groupTimes struct {
	histogram histogram
	refreshed time.Time
	hedge     time.Duration
	typical   time.Duration
}

// NewLatencyEstimator returns an estimator that has seen no results.
func NewLatencyEstimator(s LatencySettings) *LatencyEstimator {
	return &LatencyEstimator{groups: table.NewGuarded(table.RankBalancer, map[string]*groupTimes{}), s: s}
}

// Observe takes the time of a shard result.
func (l *LatencyEstimator) Observe(now time.Time, group string, elapsed time.Duration) {
	l.groups.With(func(m *map[string]*groupTimes) { l.group(*m, group).observe(now, elapsed, l.s) })
}

// ObserveAtLeast takes an attempt that was given up after elapsed. It counts only beyond the hedge
// delay: an earlier end says nothing about the 95th percentile, and leaving out the late ones would
// lower it with each hedge.
func (l *LatencyEstimator) ObserveAtLeast(now time.Time, group string, elapsed time.Duration) {
	l.groups.With(func(m *map[string]*groupTimes) {
		if g := l.group(*m, group); elapsed >= g.hedge {
			g.observe(now, elapsed, l.s)
		}
	})
}

// HedgeDelay returns the 95th percentile of the group, at most 9.1% above the true one.
func (l *LatencyEstimator) HedgeDelay(group string) time.Duration {
	return table.WithResult(l.groups, func(m *map[string]*groupTimes) time.Duration {
		if g, ok := (*m)[group]; ok {
			return g.hedge
		}
		return l.s.DefaultHedgeDelay
	})
}

// Median returns the median of the group, at most 9.1% above the true one.
func (l *LatencyEstimator) Median(group string) time.Duration {
	return table.WithResult(l.groups, func(m *map[string]*groupTimes) time.Duration {
		if g, ok := (*m)[group]; ok {
			return g.typical
		}
		return l.s.DefaultMedian
	})
}

// group returns the group's times; beyond maxGroups it drops the one that was not seen for longest.
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
