// Package pool runs tasks on a fixed number of workers, at once or at a scheduled time.
package pool

import (
	"sync"
)

// Runner accepts tasks. Submit returns false once the runner has been stopped.
type Runner[T any] interface {
	Submit(task T) bool
}

// Pool calls a function for each submitted task on a fixed number of workers.
type Pool[T any] struct {
	mu       sync.Mutex
	notEmpty *sync.Cond
	tasks    []T
	stopped  bool
	onPanic  PanicHandler
	workers  sync.WaitGroup
}

var _ Runner[int] = (*Pool[int])(nil)

// New starts n workers. They take tasks in the order of submission and call run for each.
func New[T any](n int, run func(task T)) *Pool[T] {
	p := &Pool[T]{}
	p.notEmpty = sync.NewCond(&p.mu)
	for range n {
		p.workers.Go(func() { p.workerLoop(run) })
	}
	return p
}

// OnPanic sets the handler of panics of later tasks. Without one, a panic ends the process.
func (p *Pool[T]) OnPanic(h PanicHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onPanic = h
}

// Submit queues a task without blocking. It returns false if the pool has been stopped.
func (p *Pool[T]) Submit(task T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.tasks = append(p.tasks, task)
	p.notEmpty.Signal()
	return true
}

// Len returns the number of queued tasks.
func (p *Pool[T]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tasks)
}

// Stop rejects new tasks, and returns when the queued ones have been run and all workers have exited.
func (p *Pool[T]) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.notEmpty.Broadcast()
	p.mu.Unlock()
	p.workers.Wait()
}

func (p *Pool[T]) workerLoop(run func(task T)) {
	for {
		task, onPanic, ok := p.next()
		if !ok {
			return
		}
		onPanic.Run(func() { run(task) })
	}
}

func (p *Pool[T]) next() (T, PanicHandler, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.tasks) == 0 && !p.stopped {
		p.notEmpty.Wait()
	}
	var zero T
	if len(p.tasks) == 0 {
		return zero, nil, false
	}
	task := p.tasks[0]
	p.tasks[0] = zero
	p.tasks = p.tasks[1:]
	return task, p.onPanic, true
}
