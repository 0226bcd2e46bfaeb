// Package table provides the generic containers that hold shared state, and the order of their locks.
package table

import "sync"

// Rank orders locks: a goroutine that holds a lock takes only locks of a higher rank.
type Rank int

// The ranks of the shared tables, lowest first.
const (
	RankCatalog    Rank = 10
	RankFleet      Rank = 20
	RankQuarantine Rank = 30
	RankPermit     Rank = 40
	RankUpstream   Rank = 50
	RankGather     Rank = 55
	RankBudget     Rank = 60
	RankBalancer   Rank = 70
	RankReplica    Rank = 75
	RankPending    Rank = 85
	RankShutdown   Rank = 90
)

// Guarded is a value that is reached only while its lock is held.
type Guarded[T any] struct {
	mu    sync.Mutex
	rank  Rank
	value T
}

// NewGuarded returns a guarded value with the given lock rank.
func NewGuarded[T any](rank Rank, value T) *Guarded[T] {
	return &Guarded[T]{rank: rank, value: value}
}

// Rank returns the lock's rank.
func (g *Guarded[T]) Rank() Rank {
	return g.rank
}

// With calls fn with the value while the lock is held; fn must not keep the pointer.
func (g *Guarded[T]) With(fn func(v *T)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(&g.value)
}

// WithResults returns the two results that fn computes from the value while the lock is held.
func WithResults[T, A, B any](g *Guarded[T], fn func(v *T) (A, B)) (A, B) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fn(&g.value)
}

// WithResult returns what fn computes from the value while the lock is held.
func WithResult[T, R any](g *Guarded[T], fn func(v *T) R) R {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fn(&g.value)
}
