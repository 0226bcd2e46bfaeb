package pool

import (
	"container/heap"
	"sync"
	"time"
)

// Timers hands tasks to a runner at their due times; one goroutine waits on the earliest.
type Timers[T any] struct {
	mu      sync.Mutex
	due     dueHeap[T]
	changed chan struct{}
	stop    chan struct{}
	done    chan struct{}
	run     Runner[T]
}

// NewTimers starts the waiting goroutine; Stop ends it.
func NewTimers[T any](run Runner[T]) *Timers[T] {
	t := &Timers[T]{
		changed: make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		run:     run,
	}
	go t.loop()
	return t
}

// Schedule submits the task once at has come.
func (t *Timers[T]) Schedule(at time.Time, task T) {
	t.mu.Lock()
	heap.Push(&t.due, dueTask[T]{at, task})
	first := t.due[0].at.Equal(at)
	t.mu.Unlock()
	if first {
		select {
		case t.changed <- struct{}{}:
		default:
		}
	}
}

// Stop drops the pending tasks and waits for the goroutine to leave.
func (t *Timers[T]) Stop() {
	close(t.stop)
	<-t.done
}

func (t *Timers[T]) loop() {
	defer close(t.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := t.submitDue(time.Now())
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-t.changed:
		case <-t.stop:
			return
		}
	}
}

// submitDue submits what is due at now and returns the time until the next task.
func (t *Timers[T]) submitDue(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.due) > 0 && !t.due[0].at.After(now) {
		t.run.Submit(heap.Pop(&t.due).(dueTask[T]).task)
	}
	if len(t.due) == 0 {
		return time.Hour
	}
	return t.due[0].at.Sub(now)
}

type dueTask[T any] struct {
	at   time.Time
	task T
}

type dueHeap[T any] []dueTask[T]

func (h dueHeap[T]) Len() int           { return len(h) }
func (h dueHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h dueHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap[T]) Push(x any)        { *h = append(*h, x.(dueTask[T])) }

func (h *dueHeap[T]) Pop() any {
	old := *h
	n := len(old)
	d := old[n-1]
	old[n-1] = dueTask[T]{}
	*h = old[:n-1]
	return d
}
