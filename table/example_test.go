package table_test

import (
	"fmt"
	"time"

	"pistachioshore.dev/table"
)

func ExampleQueue() {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	const urgent, normal = 0, 1
	q := table.NewQueue[string]()
	q.Push(normal, now.Add(100*time.Millisecond), "normal, 100 ms left")
	q.Push(urgent, now.Add(900*time.Millisecond), "urgent, 900 ms left")
	withdrawn := q.Push(urgent, now.Add(200*time.Millisecond), "urgent, withdrawn")
	q.Push(urgent, now.Add(300*time.Millisecond), "urgent, 300 ms left")
	q.Remove(withdrawn)
	for q.Len() > 0 {
		fmt.Println(q.Pop().Item)
	}
	// Output:
	// urgent, 300 ms left
	// urgent, 900 ms left
	// normal, 100 ms left
}

func ExampleTTLMap() {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	m := table.NewTTLMap[string, int](2)
	m.Put("a", 1, now.Add(time.Minute))
	m.Put("b", 2, now.Add(time.Second))
	m.Put("c", 3, now.Add(time.Minute)) // evicts the oldest entry, because the limit is 2
	for _, key := range []string{"a", "b", "c"} {
		v, ok := m.Get(key, now.Add(time.Second))
		fmt.Println(key, v, ok)
	}
	// Output:
	// a 0 false
	// b 0 false
	// c 3 true
}
