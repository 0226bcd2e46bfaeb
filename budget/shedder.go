package budget

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/table"
)

const (
	// toleratedLoss is the fraction of shards that may be lost to overload before requests are shed. It is not zero,
	// because a tier without any loss may be far below its capacity.
	toleratedLoss = 0.05

	// adjustInterval is the interval over which answers are averaged. It includes several answers at the request rate of
	// one VM, and is short compared with the duration of an overload, which is several seconds.
	adjustInterval = 100 * time.Millisecond

	// levelRise and levelFall are the changes of the level per interval. The level rises faster than it falls, so that
	// work that cannot complete is refused early. It falls from full shedding to none in less than 4 s.
	levelRise = 0.15
	levelFall = 0.08

	// maxShedShare is the maximum fraction of requests shed in a class. The remaining requests are needed to detect the
	// end of an overload.
	maxShedShare = 0.95
)

// Shedder is a load shedder that refuses requests by class, before any work is done for them, in proportion to the
// overload seen in recent answers. It is safe for concurrent use.
//
// Shedding of a class reaches its maximum before any request of the next more urgent class is shed.
type Shedder struct {
	state *table.Guarded[shedder]
}

type shedder struct {
	level    float64 // from 0 to the number of classes
	adjusted time.Time
	shards   int // shards requested since adjusted
	lost     int // shards lost to overload since adjusted
}

// NewShedder returns a shedder that refuses nothing until it observes an overload.
func NewShedder() *Shedder {
	return &Shedder{state: table.NewGuarded(table.RankBudget, shedder{})}
}

// Admit reports whether a request of the class should be admitted. It uses r to select the requests to shed.
func (s *Shedder) Admit(now time.Time, class catalog.Class, r *rand.Rand) bool {
	return table.WithResult(s.state, func(st *shedder) bool {
		st.adjust(now)
		shed := st.level - float64(catalog.Background-normalizeClass(class))
		return r.Float64() >= min(max(shed, 0), maxShedShare)
	})
}

// Observe records the number of shards that a request needed, and how many of them it lost to overload.
func (s *Shedder) Observe(now time.Time, shards, lost int) {
	s.state.With(func(st *shedder) {
		st.adjust(now)
		st.shards += shards
		st.lost += lost
	})
}

// Level returns the shedding level: at 0 nothing is shed, at 1 all background requests, at 2 all normal requests as well.
func (s *Shedder) Level() float64 {
	return table.WithResult(s.state, func(st *shedder) float64 { return st.level })
}

// adjust updates the level once for each interval that has elapsed.
func (st *shedder) adjust(now time.Time) {
	if st.adjusted.IsZero() {
		st.adjusted = now
	}
	for now.Sub(st.adjusted) >= adjustInterval {
		st.adjusted = st.adjusted.Add(adjustInterval)
		if float64(st.lost) > toleratedLoss*float64(st.shards) {
			st.level = min(st.level+levelRise, float64(len(classPercent)))
		} else {
			st.level = max(st.level-levelFall, 0)
		}
		st.shards, st.lost = 0, 0
		if st.level == 0 && now.Sub(st.adjusted) > time.Second {
			st.adjusted = now // without observations, the remaining intervals do not change the level
		}
	}
}
