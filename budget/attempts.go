package budget

// Attempts is the budget for the hedges and retries of one route at one VM. All queries of the route share it, so that
// the tier stays within the configured shares without a counter shared between VMs. It is safe for concurrent use.
type Attempts struct {
	hedges  *TokenBucket
	retries *TokenBucket
}

// NewAttempts returns the budget of a route with the hedges and retries allowed per primary sub-request.
func NewAttempts(hedgeShare, retryShare float64) *Attempts {
	return &Attempts{hedges: NewTokenBucket(hedgeShare, 0), retries: NewTokenBucket(retryShare, InitialRetries)}
}

// SetShares applies the shares of a new configuration and keeps the tokens already earned.
func (a *Attempts) SetShares(hedgeShare, retryShare float64) {
	a.hedges.SetShare(hedgeShare)
	a.retries.SetShare(retryShare)
}

// Credit adds the tokens earned by primary sub-requests. It ignores the service, because all services share one budget.
func (a *Attempts) Credit(_ string, primaries int) {
	a.hedges.Credit(primaries)
	a.retries.Credit(primaries)
}

// AllowHedge takes a token for a hedge at any service, and returns false if there is none.
func (a *Attempts) AllowHedge(string) bool {
	return a.hedges.Take()
}

// AllowRetry takes a token for a retry at any service, and returns false if there is none.
func (a *Attempts) AllowRetry(string) bool {
	return a.retries.Take()
}

// Levels returns the tokens available for hedges and retries.
func (a *Attempts) Levels() (hedges, retries float64) {
	return a.hedges.Level(), a.retries.Level()
}
