package pool

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestStop guards against tasks that are lost or run twice when the pool stops, more concurrent tasks than
// workers, tasks accepted after Stop, and workers that outlive it.
func TestStop(t *testing.T) {
	const workers, tasks = 3, 100
	var running, ran atomic.Int32
	release := make(chan struct{})
	p := New(workers, func(int) {
		if n := running.Add(1); n > workers {
			t.Errorf("got %d concurrent tasks, want at most %d", n, workers)
		}
		<-release
		running.Add(-1)
		ran.Add(1)
	})
	for n := range tasks {
		p.Submit(n)
	}
	close(release)
	p.Stop()
	if got := ran.Load(); got != tasks || p.Submit(0) || p.Len() != 0 {
		t.Errorf("got %d tasks run and %d queued after Stop, want %d and none", got, p.Len(), tasks)
	}
}

// submitted is a Runner that sends the submitted tasks to a channel.
type submitted chan time.Time

func (s submitted) Submit(due time.Time) bool {
	s <- due
	return true
}

// TestTimers guards against tasks that run early or out of order, in particular when the goroutine already waits for a
// later one.
func TestTimers(t *testing.T) {
	const tasks = 50
	got := make(submitted, tasks)
	timers := NewTimers[time.Time](got)
	now := time.Now()
	timers.Schedule(now, now)
	<-got // the goroutine waits from now on, and an earlier task has to wake it
	for _, n := range rand.New(rand.NewPCG(1, 1)).Perm(tasks) {
		due := now.Add(time.Duration(20+n) * time.Millisecond)
		timers.Schedule(due, due)
	}
	for n := range tasks {
		if due := <-got; !due.Equal(now.Add(time.Duration(20+n)*time.Millisecond)) || time.Now().Before(due) {
			t.Errorf("task %d: got the one due at %s early or out of order", n, due)
		}
	}
	timers.Stop()
}
