// Package pool runs tasks on a fixed number of workers and wakes them at due times.
package pool

import (
	"sync"
)

// Runner accepts tasks; it returns false once it is stopped.
type Runner[T any] interface {
	Submit(task T) bool
}

// Pool runs a function over submitted tasks on a fixed number of workers.
type Pool[T any] struct {
	mu      sync.Mutex
	wake    *sync.Cond
	tasks   []T
	stopped bool
	done    sync.WaitGroup
}

var _ Runner[int] = (*Pool[int])(nil)

// New starts n workers that call work for each task in the order of submission.
func New[T any](n int, work func(task T)) *Pool[T] {
	p := &Pool[T]{}
	p.wake = sync.NewCond(&p.mu)
	for range n {
		p.done.Go(func() { p.loop(work) })
	}
	return p
}

// Submit queues a task without blocking.
func (p *Pool[T]) Submit(task T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.tasks = append(p.tasks, task)
	p.wake.Signal()
	return true
}

// Len returns the number of tasks that wait for a worker.
func (p *Pool[T]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tasks)
}

// Stop runs the queued tasks to their end, refuses new ones and returns when all workers have left.
func (p *Pool[T]) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.wake.Broadcast()
	p.mu.Unlock()
	p.done.Wait()
}

func (p *Pool[T]) loop(work func(task T)) {
	for {
		task, ok := p.next()
		if !ok {
			return
		}
		work(task)
	}
}

func (p *Pool[T]) next() (T, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.tasks) == 0 && !p.stopped {
		p.wake.Wait()
	}
	var zero T
	if len(p.tasks) == 0 {
		return zero, false
	}
	task := p.tasks[0]
	p.tasks[0] = zero
	p.tasks = p.tasks[1:]
	return task, true
}
