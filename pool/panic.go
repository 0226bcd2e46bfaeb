package pool

import "runtime/debug"

// PanicHandler receives a panic of a task and the stack at that point. It must not panic itself.
type PanicHandler func(value any, stack []byte)

// Run calls fn and passes a panic of it to the handler, so that one faulty task does not end the process. Without a
// handler the panic continues.
func (h PanicHandler) Run(fn func()) {
	if h == nil {
		fn()
		return
	}
	defer func() {
		if v := recover(); v != nil {
			h(v, debug.Stack())
		}
	}()
	fn()
}
