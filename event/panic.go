package event

// maxStackBytes bounds the stack of a panic in a log line.
const maxStackBytes = 2 << 10

// RecordPanic records a panic with further fields that say what it ended.
func RecordPanic(r Recorder, value any, stack []byte, fields ...Field) {
	if len(stack) > maxStackBytes {
		stack = stack[:maxStackBytes]
	}
	r.Record(Panic, append([]Field{F(Error, value), F(Stack, string(stack))}, fields...)...)
}

// PanicHandler returns a function that records the panics that it is called with, with the same further fields.
func PanicHandler(r Recorder, fields ...Field) func(value any, stack []byte) {
	return func(value any, stack []byte) { RecordPanic(r, value, stack, fields...) }
}
