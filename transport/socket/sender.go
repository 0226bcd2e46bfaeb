package socket

import (
	"context"

	"github.com/coder/websocket"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/wire"
)

// messagesPerFragment is the number of other messages after which a fragment of a bulk message is sent although more of them
// wait.
const messagesPerFragment = 8

// isBulk reports whether a message may be large and is not urgent. Heartbeats and queries overtake it, so that they are not
// held up for the time that a slow link needs for it.
func isBulk(m *outgoing) bool {
	return m.message.Kind == codec.KindConfigValue
}

// sender sends the messages of a link on one connection.
type sender struct {
	link      *link
	conn      *websocket.Conn
	fragments bool   // the other VM reads fragments
	messages  uint64 // messages sent as fragments so far
	overtaken int    // messages sent since the last fragment of a bulk message

	bulk *fragmented // bulk message of which some fragments are sent; nil for none
}

// fragmented is a message that is sent as fragments.
type fragmented struct {
	number uint64
	rest   []byte // what is not sent yet
}

// sendNext sends a message, or a fragment of a bulk message. It returns false if nothing is queued.
func (s *sender) sendNext(ctx context.Context) (sent bool, err error) {
	if s.overtaken < messagesPerFragment {
		if m := s.link.dequeue(); m != nil {
			s.overtaken++
			return true, s.sendWhole(ctx, m)
		}
	}
	s.overtaken = 0
	bulk := s.link.nextBulk()
	if bulk == nil {
		m := s.link.dequeue()
		if m == nil {
			return false, nil
		}
		return true, s.sendWhole(ctx, m)
	}
	return true, s.sendBulk(ctx, bulk)
}

// sendWhole sends a message in one frame or, if it is large, as fragments one after another.
func (s *sender) sendWhole(ctx context.Context, m *outgoing) error {
	frame, ok := s.encode(m)
	if !ok {
		return nil
	}
	if !s.isFragmented(frame) {
		return s.link.hub.write(ctx, s.conn, frame)
	}
	f := s.newFragmented(frame)
	for len(f.rest) > 0 {
		if err := s.sendFragment(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// sendBulk sends the next fragment of a bulk message, or all of it if it is small.
func (s *sender) sendBulk(ctx context.Context, m *outgoing) error {
	if s.bulk == nil {
		frame, ok := s.encode(m)
		if !ok || !s.isFragmented(frame) {
			s.link.removeBulk()
		}
		switch {
		case !ok:
			return nil
		case !s.isFragmented(frame):
			return s.link.hub.write(ctx, s.conn, frame)
		}
		s.bulk = s.newFragmented(frame)
	}
	if err := s.sendFragment(ctx, s.bulk); err != nil {
		return err
	}
	if len(s.bulk.rest) == 0 {
		s.bulk = nil
		s.link.removeBulk()
	}
	return nil
}

// encode returns the encoding of a message for the other VM. It returns false if the message cannot be sent, and reports it.
func (s *sender) encode(m *outgoing) ([]byte, bool) {
	encode, limit := m.frame, s.link.hub.opts.messageLimit
	if !s.fragments {
		encode, limit = m.earlierFrame, s.link.hub.opts.frameLimit
	}
	frame, err := encode()
	if err == nil && len(frame) > limit {
		err = tooLarge(len(frame), limit)
	}
	if err != nil {
		s.link.hub.opts.onDropped(s.link.vm, err)
		s.link.receiver.Undelivered(s.link.vm, []*wire.Envelope{m.message})
		return nil, false
	}
	return frame, true
}

func (s *sender) isFragmented(frame []byte) bool {
	return s.fragments && len(frame) > fragmentBytes
}

func (s *sender) newFragmented(frame []byte) *fragmented {
	s.messages++
	return &fragmented{number: s.messages, rest: frame}
}

// sendFragment sends the next fragment of a message.
func (s *sender) sendFragment(ctx context.Context, f *fragmented) error {
	n := min(len(f.rest), fragmentBytes)
	data := f.rest[:n]
	f.rest = f.rest[n:]
	frame, err := s.link.hub.codec.EncodeFrame(&wire.Envelope{
		Kind: codec.KindFragment, Fragment: &wire.Fragment{Message: f.number, Data: data, Last: len(f.rest) == 0},
	})
	if err != nil {
		return err
	}
	return s.link.hub.write(ctx, s.conn, frame)
}
