// Package table provides generic containers for shared state, and defines the lock order between them.
package table

import "sync"

// Rank is the position of a lock in the lock order. A goroutine that holds a lock may only acquire locks of a
// higher rank.
type Rank int

// Lock ranks of the shared tables, lowest first. Unrelated tables share a rank, because no goroutine
// holds the locks of two of them.
const (
	RankCatalog    Rank = 10 // configuration
	RankFleet      Rank = 20 // membership and ownership
	RankQuarantine Rank = 30 // requests that crash upstreams
	RankPermit     Rank = 40 // issued permits
	RankUpstream   Rank = 50 // owned upstreams with their queues
	RankWaiting    Rank = 52 // requests that wait for a slot of a service
	RankGather     Rank = 55 // state of a query
	RankBudget     Rank = 60 // admission, hedge and retry budgets
	RankBalancer   Rank = 70 // load and latency estimates
	RankReplica    Rank = 75 // upstreams that a VM sends requests to directly
	RankIntake     Rank = 80 // connections and bytes of clients
	RankPending    Rank = 85 // replies, connections and requests in flight at a VM
	RankShutdown   Rank = 90 // shutdown state and counters
)

// Guarded is a value that can only be accessed while its lock is held.
type Guarded[T any] struct {
	mu    sync.Mutex
	rank  Rank
	value T
}

// NewGuarded returns a Guarded value with the given lock rank.
func NewGuarded[T any](rank Rank, value T) *Guarded[T] {
	return &Guarded[T]{rank: rank, value: value}
}

// Rank returns the rank of the lock.
func (g *Guarded[T]) Rank() Rank {
	return g.rank
}

// With calls fn with the value while holding the lock. fn must not keep the pointer.
func (g *Guarded[T]) With(fn func(v *T)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(&g.value)
}

// WithResults calls fn with the value while holding the lock, and returns its two results.
func WithResults[T, A, B any](g *Guarded[T], fn func(v *T) (A, B)) (A, B) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fn(&g.value)
}

// WithResult calls fn with the value while holding the lock, and returns its result.
func WithResult[T, R any](g *Guarded[T], fn func(v *T) R) R {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fn(&g.value)
}
