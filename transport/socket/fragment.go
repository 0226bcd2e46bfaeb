package socket

import (
	"fmt"
	"net/netip"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

const (
	// fragmentBytes is the largest part of a message in one frame. A frame with a fragment stays below freeFrameBytes, so that
	// no link is lost because there is no memory for it.
	fragmentBytes = freeFrameBytes - 1<<10

	// maxPartialMessages is the number of messages of one connection of which some fragments may have arrived: a bulk message
	// and another one.
	maxPartialMessages = 2

	// assemblyCost is the memory for each byte of a message in fragments: the fragments put together, and the message that is
	// decoded from them.
	assemblyCost = 2
)

// assembler puts the messages of one connection together from their fragments. A message for which there is no memory, or
// that exceeds the limit, is dropped; the connection carries on.
type assembler struct {
	hub     *Hub
	partial map[uint64]*partialMessage
}

// partialMessage is a message of which some fragments have arrived.
type partialMessage struct {
	data  []byte
	taken int64 // bytes of the read budget
	fault error // reason why the message is dropped; nil if it is not
}

func newAssembler(h *Hub) *assembler {
	return &assembler{hub: h, partial: map[uint64]*partialMessage{}}
}

// add adds a fragment. It returns the message if it is complete, nil if it is not or is dropped, and an error if the connection
// has to be closed.
func (a *assembler) add(from netip.AddrPort, f *wire.Fragment) (*wire.Envelope, error) {
	m := a.partial[f.Message]
	if m == nil {
		if len(a.partial) >= maxPartialMessages {
			return nil, result.New(result.Malformed, fmt.Sprintf("fragments of more than %d messages at a time", maxPartialMessages))
		}
		m = &partialMessage{}
		a.partial[f.Message] = m
	}
	a.append(m, f.Data)
	if !f.Last {
		return nil, nil
	}
	delete(a.partial, f.Message)
	defer a.release(m)
	if m.fault != nil {
		a.hub.opts.onDropped(from, m.fault)
		return nil, nil
	}
	e, err := a.hub.codec.DecodeFrame(m.data, a.hub.opts.messageLimit)
	if err == nil && e.Kind == codec.KindFragment {
		err = result.New(result.Malformed, "a fragment within a fragment")
	}
	return e, err
}

// append adds the data of a fragment, or drops the message.
func (a *assembler) append(m *partialMessage, data []byte) {
	n := int64(len(data)) * assemblyCost
	switch {
	case m.fault != nil:
		return
	case len(m.data)+len(data) > a.hub.opts.messageLimit:
		m.fault = tooLarge(len(m.data)+len(data), a.hub.opts.messageLimit)
	case !a.hub.opts.readBudget.Take(n):
		m.fault = result.New(result.Overloaded, "no memory for the message")
	default:
		m.taken += n
		m.data = append(m.data, data...)
		return
	}
	a.release(m)
}

// release gives the memory of a message back.
func (a *assembler) release(m *partialMessage) {
	a.hub.opts.readBudget.Return(m.taken)
	m.data, m.taken = nil, 0
}

// close drops all messages that are not complete.
func (a *assembler) close() {
	for _, m := range a.partial {
		a.release(m)
	}
}

// tooLarge returns the fault of a message of more bytes than the limit.
func tooLarge(size, limit int) *result.Error {
	return result.NewFieldError(result.FrameTooLarge, "", fmt.Sprintf("%d bytes", size), fmt.Sprintf("at most %d bytes", limit))
}
