package budget

import "pistachioshore.dev/table"

// tokenParts is the number of units in a token; whole units add up without rounding errors.
const tokenParts = 1_000_000

// TokenBucket is a budget that earns a share of a token for each primary and holds at most Burst; it is
// safe for concurrent use.
type TokenBucket struct {
	state *table.Guarded[tokens]
}

type tokens struct {
	share int64 // units earned for each primary
	level int64 // units held
	burst int64 // most units held
}

// NewTokenBucket returns a budget with a share from 0 to 1 and the tokens that it starts with.
func NewTokenBucket(share float64, start int) *TokenBucket {
	level := int64(min(max(start, 0), MaxBurst)) * tokenParts
	return &TokenBucket{state: table.NewGuarded(table.RankBudget, tokens{units(share), level, MaxBurst * tokenParts})}
}

// SetShare changes what later primaries earn.
func (t *TokenBucket) SetShare(share float64) {
	t.state.With(func(s *tokens) { s.share = units(share) })
}

// SetBurst changes the most tokens held, which may have a fraction; tokens beyond it are lost.
func (t *TokenBucket) SetBurst(burst float64) {
	most := int64(min(max(burst, 0), MaxBurst) * tokenParts)
	t.state.With(func(s *tokens) { s.burst, s.level = most, min(s.level, most) })
}

// Earn adds the share of n primaries.
func (t *TokenBucket) Earn(n int) {
	n = min(max(n, 0), MaxBurst*tokenParts) // beyond this the burst caps any share, and sums stay small
	t.state.With(func(s *tokens) { s.level = min(s.level+int64(n)*s.share, s.burst) })
}

// Take spends one token; it reports false if there is none.
func (t *TokenBucket) Take() bool {
	return t.TakeAbove(0)
}

// TakeAbove spends one token if at least reserve tokens remain; it reports false otherwise.
func (t *TokenBucket) TakeAbove(reserve float64) bool {
	return table.WithResult(t.state, func(s *tokens) bool {
		if s.level < tokenParts+int64(reserve*tokenParts) {
			return false
		}
		s.level -= tokenParts
		return true
	})
}

// Level returns the tokens held.
func (t *TokenBucket) Level() float64 {
	return table.WithResult(t.state, func(s *tokens) float64 { return float64(s.level) / tokenParts })
}

// units converts a share; one that is not between 0 and 1 is taken for the nearest, NaN for 0.
func units(share float64) int64 {
	if !(share > 0) {
		return 0
	}
	return int64(min(share, 1)*tokenParts + 0.5)
}
