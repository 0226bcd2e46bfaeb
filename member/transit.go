package member

import "time"

// transitWindow is the time after which an older message no longer tells the usual way of messages. The boot clocks of two VMs
// drift by some milliseconds in that time.
const transitWindow = 30 * time.Second

// usualTransit is more than a message between VMs usually takes, which transit cannot tell from the offset of the clocks.
const usualTransit = 20 * time.Millisecond

// transit estimates how much longer than usual the messages of one VM were on their way: held back by a link, or written or
// read late by a VM that was suspended. The clocks of VMs differ by an unknown offset. The smallest difference between
// the readings at both ends within the last windows belongs to the usual way.
type transit struct {
	incarnation uint64        // of the sender
	since       time.Duration // start of the current window
	current     time.Duration // smallest difference of the current window
	previous    time.Duration // the same of the window before it
}

// excess returns by how much a message was late, according to the readings of the boot clocks of its sender and its receiver.
func (t *transit) excess(incarnation uint64, sentAt, receivedAt time.Duration) time.Duration {
	difference := receivedAt - sentAt
	if t.incarnation != incarnation {
		*t = transit{incarnation: incarnation, since: receivedAt, current: difference, previous: difference}
	}
	if receivedAt-t.since >= transitWindow {
		t.since, t.previous, t.current = receivedAt, t.current, difference
	}
	t.current = min(t.current, difference)
	return difference - min(t.current, t.previous)
}

// isStale reports whether there was no message for so long that the estimate is of no more use.
func (t *transit) isStale(now time.Duration) bool {
	return now-t.since >= 3*transitWindow
}
