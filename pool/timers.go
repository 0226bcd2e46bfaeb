package pool

import (
	"container/heap"
	"sync"
	"time"
)

// Timers submits tasks to a runner at scheduled times. A single goroutine waits for the earliest one.
type Timers[T any] struct {
	mu     sync.Mutex
	tasks  taskHeap[T]
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}
	runner Runner[T]
}

// NewTimers returns an empty Timers and starts its goroutine, which Stop ends.
func NewTimers[T any](runner Runner[T]) *Timers[T] {
	t := &Timers[T]{
		wake:   make(chan struct{}, 1),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		runner: runner,
	}
	go t.loop()
	return t
}

// Schedule submits the task at the given time.
func (t *Timers[T]) Schedule(at time.Time, task T) {
	t.mu.Lock()
	heap.Push(&t.tasks, timedTask[T]{at, task})
	first := t.tasks[0].at.Equal(at)
	t.mu.Unlock()
	if first {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// Stop discards the scheduled tasks and waits for the goroutine to exit.
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
		case <-t.wake:
		case <-t.stop:
			return
		}
	}
}

// submitDue submits the tasks that are due and returns the time until the next one.
func (t *Timers[T]) submitDue(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.tasks) > 0 && !t.tasks[0].at.After(now) {
		t.runner.Submit(heap.Pop(&t.tasks).(timedTask[T]).task)
	}
	if len(t.tasks) == 0 {
		return time.Hour
	}
	return t.tasks[0].at.Sub(now)
}

type timedTask[T any] struct {
	at   time.Time
	task T
}

type taskHeap[T any] []timedTask[T]

func (h taskHeap[T]) Len() int           { return len(h) }
func (h taskHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h taskHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *taskHeap[T]) Push(x any)        { *h = append(*h, x.(timedTask[T])) }

func (h *taskHeap[T]) Pop() any {
	old := *h
	n := len(old)
	d := old[n-1]
	old[n-1] = timedTask[T]{}
	*h = old[:n-1]
	return d
}
