package relay

import (
	"bytes"
	"testing"
)

// FuzzBitmap guards against a bitmap of another VM that ends the process, and against positions that change on the way.
func FuzzBitmap(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0b101, 0, 0b10})
	f.Add([]byte{0, 0, 0, 255, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		positions := fromBitmap(b)
		if got, want := toBitmap(positions), bytes.TrimRight(b, "\x00"); !bytes.Equal(got, want) {
			t.Errorf("got %x for the positions %v, want %x", got, positions, want)
		}
	})
}
