package budget

// Attempts grants the hedges and retries of one route at one VM. All queries of the route share
// it, so that the tier keeps to the shares without a shared counter. It is safe for concurrent use.
type Attempts struct {
	hedges  *TokenBucket
	retries *TokenBucket
}

// NewAttempts returns the budget of a route with the hedges and retries allowed for each primary.
func NewAttempts(hedgeShare, retryShare float64) *Attempts {
	return &Attempts{hedges: NewTokenBucket(hedgeShare, 0), retries: NewTokenBucket(retryShare, InitialRetries)}
}

// SetShares takes the shares of a new configuration and keeps the tokens already earned.
func (a *Attempts) SetShares(hedgeShare, retryShare float64) {
	a.hedges.SetShare(hedgeShare)
	a.retries.SetShare(retryShare)
}

// Earn adds the shares of primary sub-requests; all services share one budget.
func (a *Attempts) Earn(_ string, primaries int) {
	a.hedges.Earn(primaries)
	a.retries.Earn(primaries)
}

// AllowHedge spends one hedge; it reports false if the budget has none.
func (a *Attempts) AllowHedge(string) bool {
	return a.hedges.Take()
}

// AllowRetry spends one retry; it reports false if the budget has none.
func (a *Attempts) AllowRetry(string) bool {
	return a.retries.Take()
}

// Levels returns the hedges and retries that the budget holds.
func (a *Attempts) Levels() (hedges, retries float64) {
	return a.hedges.Level(), a.retries.Level()
}
