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
	ordered  *orderedTasks[T] // used instead of tasks; nil unless NewOrdered has started the pool
	stopped  bool
	onPanic  PanicHandler
	workers  sync.WaitGroup
}

var _ Runner[int] = (*Pool[int])(nil)

// New starts n workers. They take tasks in the order of submission and call run for each.
func New[T any](n int, run func(task T)) *Pool[T] {
	p := newPool[T]()
	p.start(n, run)
	return p
}

func newPool[T any]() *Pool[T] {
	p := &Pool[T]{}
	p.notEmpty = sync.NewCond(&p.mu)
	return p
}

func (p *Pool[T]) start(n int, run func(task T)) {
	for range n {
		p.workers.Go(func() { p.workerLoop(run) })
	}
}

// OnPanic sets the handler of panics of later tasks. Without one, a panic ends the process.
func (p *Pool[T]) OnPanic(h PanicHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onPanic = h
}

// Submit queues a task without blocking. It returns false if the pool has been stopped.
func (p *Pool[T]) Submit(task T) bool {
	return p.SubmitPriority(0, task)
}

// Len returns the number of queued tasks.
func (p *Pool[T]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queued()
}

// queued returns the number of queued tasks.
func (p *Pool[T]) queued() int {
	if p.ordered != nil {
		return p.ordered.n
	}
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
	for p.queued() == 0 && !p.stopped {
		p.notEmpty.Wait()
	}
	var zero T
	if p.queued() == 0 {
		return zero, nil, false
	}
	if p.ordered != nil {
		return p.ordered.pop(), p.onPanic, true
	}
	task := p.tasks[0]
	p.tasks[0] = zero
	p.tasks = p.tasks[1:]
	return task, p.onPanic, true
}
