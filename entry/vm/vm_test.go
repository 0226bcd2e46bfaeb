package vm

import (
	"net/netip"
	"testing"
)

// TestMessageIDsAcrossRestarts guards against replies to the messages of a killed process that its successor at the same
// address takes for replies to its own, because both have used the same IDs.
func TestMessageIDsAcrossRestarts(t *testing.T) {
	s := Settings{Address: netip.MustParseAddrPort("10.1.0.1:80"), Zone: "a"}
	killed := New(s, Transports{}, Instrumentation{}, Policies{})
	used := map[uint64]bool{}
	for range 1000 {
		used[killed.nextID.Add(1)] = true
	}
	restarted := New(s, Transports{}, Instrumentation{}, Policies{})
	if got := restarted.nextID.Add(1); used[got] {
		t.Errorf("got message ID %d again after a restart, want one that the killed process has not used", got)
	}
}
