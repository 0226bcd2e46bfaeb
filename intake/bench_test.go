package intake

import (
	"testing"
	"time"
)

// BenchmarkRequest measures the decisions about one ordinary request, which must not allocate.
func BenchmarkRequest(b *testing.B) {
	l, _ := DefaultLimits(184, 4100, 1)
	t := New[int](l)
	c, _ := t.Open(time.Now(), Front, 1)
	b.ReportAllocs()
	for b.Loop() {
		t.Enter(time.Now(), c, Head)
		t.Begin(time.Now(), c)
		t.Acquire(time.Now(), c, 4<<10)
		t.Enter(time.Now(), c, Running)
		t.Respond(time.Now(), c, 2<<10)
		t.Enter(time.Now(), c, Idle)
	}
}
