package budget

import (
	"math/rand/v2"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/table"
)

// Rules of a shedder.
const (
	// tolerated is the share of shards that may be lost to overload before requests are shed. It is
	// not zero, because a tier that loses nothing at all may be far below its capacity.
	tolerated = 0.05

	// adjustEvery is the time over which answers are averaged; it holds several of them at the rates of
	// one VM and is short against the seconds that an overload lasts.
	adjustEvery = 100 * time.Millisecond

	// The level rises faster than it falls, so that work that cannot be finished is refused early.
	// From full shedding it falls to none in under 4 s.
	levelRise = 0.15
	levelFall = 0.08

	// mostShed keeps some urgent requests coming, because without answers the level cannot be judged.
	mostShed = 0.95
)

// Shedder refuses requests before any work is spent on them, by class, in proportion to the overload
// that recent answers showed; it is safe for concurrent use.
//
// Each class is shed in full before the next more urgent one is touched.
type Shedder struct {
	state *table.Guarded[shedder]
}

type shedder struct {
	level    float64 // from 0 to the number of classes
	adjusted time.Time
	shards   int // asked for since then
	lost     int // of them, to overload
}

// NewShedder returns a shedder that refuses nothing until it has seen overload.
func NewShedder() *Shedder {
	return &Shedder{state: table.NewGuarded(table.RankBudget, shedder{})}
}

// Admit reports whether a request of the class should be accepted.
func (s *Shedder) Admit(now time.Time, class catalog.Class, r *rand.Rand) bool {
	return table.WithResult(s.state, func(st *shedder) bool {
		st.adjust(now)
		shed := st.level - float64(catalog.Background-known(class))
		return r.Float64() >= min(max(shed, 0), mostShed)
	})
}

// Observe takes how many shards a request asked for and how many of them it lost to overload.
func (s *Shedder) Observe(now time.Time, shards, lost int) {
	s.state.With(func(st *shedder) {
		st.adjust(now)
		st.shards += shards
		st.lost += lost
	})
}

// Level returns how much is shed: 0 nothing, 1 all background requests, 2 all normal ones as well.
func (s *Shedder) Level() float64 {
	return table.WithResult(s.state, func(st *shedder) float64 { return st.level })
}

// adjust moves the level once for each interval that has passed.
func (st *shedder) adjust(now time.Time) {
	if st.adjusted.IsZero() {
		st.adjusted = now
	}
	for now.Sub(st.adjusted) >= adjustEvery {
		st.adjusted = st.adjusted.Add(adjustEvery)
		if float64(st.lost) > tolerated*float64(st.shards) {
			st.level = min(st.level+levelRise, float64(len(percent)))
		} else {
			st.level = max(st.level-levelFall, 0)
		}
		st.shards, st.lost = 0, 0
		if st.level == 0 && now.Sub(st.adjusted) > time.Second {
			st.adjusted = now
		}
	}
}
