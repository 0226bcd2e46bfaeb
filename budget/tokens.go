package budget

import "pistachioshore.dev/table"

// unitsPerToken is the number of units in one token. Integer units accumulate without rounding errors.
const unitsPerToken = 1_000_000

// TokenBucket is a budget that earns a fraction of a token for each primary sub-request, up to a burst limit. It is safe
// for concurrent use.
type TokenBucket struct {
	state *table.Guarded[tokenBucket]
}

type tokenBucket struct {
	share int64 // units earned for each primary
	level int64 // units held
	burst int64 // maximum number of units held
}

// NewTokenBucket returns a bucket that earns share tokens, from 0 to 1, for each primary and initially holds start tokens.
func NewTokenBucket(share float64, start int) *TokenBucket {
	level := int64(min(max(start, 0), MaxBurst)) * unitsPerToken
	return &TokenBucket{state: table.NewGuarded(table.RankBudget, tokenBucket{toUnits(share), level, MaxBurst * unitsPerToken})}
}

// SetShare changes the share that subsequent primaries earn.
func (t *TokenBucket) SetShare(share float64) {
	t.state.With(func(s *tokenBucket) { s.share = toUnits(share) })
}

// SetBurst changes the maximum number of tokens, which may be fractional. Tokens beyond it are discarded.
func (t *TokenBucket) SetBurst(burst float64) {
	maxUnits := int64(min(max(burst, 0), MaxBurst) * unitsPerToken)
	t.state.With(func(s *tokenBucket) { s.burst, s.level = maxUnits, min(s.level, maxUnits) })
}

// Credit adds the tokens earned by n primaries.
func (t *TokenBucket) Credit(n int) {
	n = min(max(n, 0), MaxBurst*unitsPerToken) // n is limited to avoid overflow; the burst limits the result anyway
	t.state.With(func(s *tokenBucket) { s.level = min(s.level+int64(n)*s.share, s.burst) })
}

// Take takes one token, and returns false if there is none.
func (t *TokenBucket) Take() bool {
	return t.TakeAbove(0)
}

// TakeAbove takes one token if at least reserve tokens remain after that, and returns false otherwise.
func (t *TokenBucket) TakeAbove(reserve float64) bool {
	return table.WithResult(t.state, func(s *tokenBucket) bool {
		if s.level < unitsPerToken+int64(reserve*unitsPerToken) {
			return false
		}
		s.level -= unitsPerToken
		return true
	})
}

// Level returns the number of tokens available.
func (t *TokenBucket) Level() float64 {
	return table.WithResult(t.state, func(s *tokenBucket) float64 { return float64(s.level) / unitsPerToken })
}

// toUnits converts a share to units. It clamps the share to the range from 0 to 1 and treats NaN as 0.
func toUnits(share float64) int64 {
	if !(share > 0) {
		return 0
	}
	return int64(min(share, 1)*unitsPerToken + 0.5)
}
