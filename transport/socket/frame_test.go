package socket

import (
	"bytes"
	"errors"
	"testing"

	"pistachioshore.dev/intake"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// TestReadBudget guards against large messages that together fill the memory of a VM, and against small ones, such as
// heartbeats, that are refused then.
func TestReadBudget(t *testing.T) {
	b := intake.NewBudget(100 << 10)
	h := New(wire.Hello{}, nil, WithReadBudget(b))
	for _, c := range []struct {
		size, frame int
		refused     bool
	}{
		{size: 1, frame: 1},
		{size: freeFrameBytes - 1, frame: freeFrameBytes - 1},
		{size: 40 << 10, frame: 40 << 10},
		{size: 200 << 10, refused: true},
	} {
		frame, taken, err := h.readFrame(bytes.NewReader(make([]byte, c.size)))
		var refusal *result.Error
		if got := errors.As(err, &refusal) && refusal.Code == result.Overloaded; len(frame) != c.frame || got != c.refused {
			t.Errorf("size %d: got %d bytes and error %v, want %d bytes, refused: %t", c.size, len(frame), err, c.frame, c.refused)
		}
		b.Return(taken)
	}
	if b.Held() != 0 {
		t.Errorf("got %d bytes held, want none", b.Held())
	}
}
