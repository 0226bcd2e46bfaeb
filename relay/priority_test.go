package relay

import (
	"testing"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/forward"
)

// TestPriority guards against the most urgent priority, 0, that is lost between two VMs, and against a message that names a
// priority although the request has none: VMs of earlier versions reject it.
func TestPriority(t *testing.T) {
	c, err := codec.New()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{-1, 0, 3} { // -1 for none
		req := &forward.Request{Shards: []int{1}}
		if want >= 0 {
			req.Priority = &want
		}
		b, err := c.EncodeFrame(newForwardMessage(1, req, forward.RelayLimits{Deadline: time.Now()}))
		if err != nil {
			t.Fatal(err)
		}
		e, err := c.DecodeFrame(b, len(b))
		if err != nil {
			t.Fatal(err)
		}
		got := -1
		if p := requestFromMessage(e.QueryForward, time.Now()).Priority; p != nil {
			got = *p
		}
		if got != want {
			t.Errorf("got priority %d, want %d", got, want)
		}
	}
}
