package table

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQueueOrder guards against entries out of order under any mix of pushes, pops and removals, and against a
// stale heap index, which would remove another request than the cancelled one.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int]()
		var model []*Entry[int]
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				deadline := time.Unix(rapid.Int64Range(0, 3).Draw(t, "deadline"), 0)
				model = append(model, q.Push(rapid.IntRange(0, 2).Draw(t, "class"), deadline, len(model)))
			},
			"pop": func(t *rapid.T) {
				if len(model) > 0 && q.Pop() != model[0] {
					t.Fatal("popped the wrong entry")
				}
				model = model[min(1, len(model)):]
			},
			"remove": func(t *rapid.T) {
				if len(model) == 0 {
					return
				}
				i := rapid.IntRange(0, len(model)-1).Draw(t, "index")
				if !q.Remove(model[i]) || q.Remove(model[i]) {
					t.Fatal("entry was not removed exactly once")
				}
				model = slices.Delete(model, i, i+1)
			},
			"": func(t *rapid.T) {
				slices.SortFunc(model, func(a, b *Entry[int]) int {
					return cmp.Or(cmp.Compare(a.Class, b.Class), a.Deadline.Compare(b.Deadline), cmp.Compare(a.seq, b.seq))
				})
				if q.Len() != len(model) {
					t.Fatalf("got %d entries, want %d", q.Len(), len(model))
				}
			},
		})
	})
}
