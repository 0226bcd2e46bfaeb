package intake

import "sync/atomic"

// Budget bounds the bytes of messages from other VMs. It is apart from the table, so that clients cannot exhaust it.
// A Budget of 0 bytes has no bound. It is safe for concurrent use.
type Budget struct {
	limit   int64
	held    atomic.Int64
	refused atomic.Uint64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Take takes n bytes, and returns false if they are not available.
func (b *Budget) Take(n int64) bool {
	if held := b.held.Add(n); b.limit > 0 && held > b.limit {
		b.held.Add(-n)
		b.refused.Add(1)
		return false
	}
	return true
}

// Return returns bytes that were taken.
func (b *Budget) Return(n int64) {
	b.held.Add(-n)
}

// Held returns the bytes that are taken.
func (b *Budget) Held() int64 { return b.held.Load() }

// Refused returns how often bytes were not available.
func (b *Budget) Refused() uint64 { return b.refused.Load() }
