package pool

import "time"

// priorityLevels is the number of priorities that an ordered pool tells apart. Less urgent tasks count as the last one.
const priorityLevels = 8

// NewOrdered starts n workers like New, which take more urgent tasks first. The priority 0 is the most urgent. A task ages:
// it precedes a task of priority 0 that was submitted later by its priority times agingStep.
func NewOrdered[T any](n int, agingStep time.Duration, run func(task T)) *Pool[T] {
	p := newPool[T]()
	p.ordered = &orderedTasks[T]{step: agingStep, start: time.Now()}
	p.start(n, run)
	return p
}

// SubmitPriority queues a task with a priority like Submit, which queues it with priority 0. A pool that New has started
// ignores the priority.
func (p *Pool[T]) SubmitPriority(priority int, task T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	if p.ordered != nil {
		p.ordered.push(priority, task)
	} else {
		p.tasks = append(p.tasks, task)
	}
	p.notEmpty.Signal()
	return true
}

// orderedTasks holds the queued tasks of an ordered pool.
type orderedTasks[T any] struct {
	step   time.Duration
	start  time.Time
	levels [priorityLevels]taskQueue[T]
	n      int
}

// taskQueue holds the tasks of one priority in the order of submission. It reuses its memory whenever it is empty.
type taskQueue[T any] struct {
	tasks []orderedTask[T]
	first int // index of the next task
}

// orderedTask is a queued task. Of the first tasks of all priorities the one with the earliest due time is taken.
type orderedTask[T any] struct {
	due  time.Duration // since the start of the pool
	task T
}

// maxReusedTasks bounds the memory that an empty queue keeps.
const maxReusedTasks = 256

func (o *orderedTasks[T]) push(priority int, task T) {
	level := min(max(priority, 0), priorityLevels-1)
	q := &o.levels[level]
	q.tasks = append(q.tasks, orderedTask[T]{time.Since(o.start) + time.Duration(level)*o.step, task})
	o.n++
}

// pop removes the next task. There must be one.
func (o *orderedTasks[T]) pop() T {
	var next *taskQueue[T]
	for i := range o.levels {
		q := &o.levels[i]
		if q.first < len(q.tasks) && (next == nil || q.tasks[q.first].due < next.tasks[next.first].due) {
			next = q
		}
	}
	o.n--
	return next.pop()
}

func (q *taskQueue[T]) pop() T {
	task := q.tasks[q.first].task
	q.tasks[q.first] = orderedTask[T]{}
	q.first++
	switch {
	case q.first < len(q.tasks) && q.first < maxReusedTasks:
	case q.first < len(q.tasks): // gives the space of the tasks that were run back with the next growth
		q.tasks, q.first = q.tasks[q.first:], 0
	case cap(q.tasks) > maxReusedTasks:
		q.tasks, q.first = nil, 0
	default:
		q.tasks, q.first = q.tasks[:0], 0
	}
	return task
}
