package forward

import (
	"runtime/debug"

	"pistachioshore.dev/event"
	"pistachioshore.dev/result"
)

// containPanic turns a panic while a request is served into an answer that promises nothing, because the request may have
// run. It is deferred.
func (vm *VM) containPanic(req *Request, a *Answer) {
	if v := recover(); v != nil {
		vm.recordPanic(v, req)
		*a = Answer{Code: result.Internal, Sharded: a.Sharded}
	}
}

// contain runs a task of the query. A panic ends the query with what it has received so far.
func (q *query) contain(task func()) {
	defer func() {
		if v := recover(); v != nil {
			q.vm.recordPanic(v, q.req)
			q.doneOnce.Do(func() { close(q.done) })
		}
	}()
	task()
}

func (vm *VM) recordPanic(v any, req *Request) {
	event.RecordPanic(vm.events, v, debug.Stack(), event.F(event.RequestID, req.ID), event.F(event.Fingerprint, fingerprintOf(req)))
}
