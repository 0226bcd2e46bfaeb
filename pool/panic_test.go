package pool_test

import (
	"strings"
	"testing"

	"pistachioshore.dev/pool"
)

// TestPanic guards against a task whose panic ends the process or the worker, or goes unnoticed.
func TestPanic(t *testing.T) {
	var got []string
	ran := false
	p := pool.New(1, func(task func()) { task() })
	p.OnPanic(func(v any, stack []byte) {
		if !strings.Contains(string(stack), "TestPanic") {
			t.Errorf("got the stack %s, want one that names the task", stack)
		}
		got = append(got, v.(string))
	})
	p.Submit(func() { panic("fault") })
	p.Submit(func() { ran = true })
	p.Stop()
	if len(got) != 1 || got[0] != "fault" || !ran {
		t.Errorf("got panics %v, later task run %t, want [fault] and true", got, ran)
	}
}
