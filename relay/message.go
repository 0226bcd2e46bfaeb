package relay

import (
	"strings"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/forward"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// newForwardMessage returns the message that forwards a query.
func newForwardMessage(id uint64, req *forward.Request, limits forward.RelayLimits) *wire.Envelope {
	now := time.Now()
	m := &wire.QueryForward{
		ID: id, RequestID: req.ID, Method: req.Method, Target: req.Target, Host: req.Host, Header: []wire.HeaderLine{},
		Body: append([]byte{}, req.Body...), Waited: now.Sub(req.ReceivedAt), Transit: req.Transit + hopTime,
		Left: max(limits.Deadline.Sub(now)-hopTime, time.Millisecond), Version: limits.ConfigVersion, Tried: req.PriorAttempts,
		Shards: toBitmap(req.Shards), Priority: req.Priority,
	}
	for name, values := range req.Header {
		for _, v := range values {
			m.Header = append(m.Header, wire.HeaderLine{Name: name, Value: v})
		}
	}
	return &wire.Envelope{Kind: codec.KindQueryForward, QueryForward: m}
}

// requestFromMessage returns the request in a forward message that arrived at now.
func requestFromMessage(m *wire.QueryForward, now time.Time) *forward.Request {
	req := &forward.Request{
		ID: m.RequestID, Method: m.Method, Target: m.Target, Host: m.Host, Body: m.Body, Header: map[string][]string{},
		ReceivedAt: now.Add(-m.Waited), Deadline: now.Add(m.Left), Transit: m.Transit, Relayed: true, ConfigVersion: m.Version, PriorAttempts: m.Tried,
		Shards: fromBitmap(m.Shards), Priority: m.Priority,
	}
	req.Path, _, _ = strings.Cut(m.Target, "?")
	for _, h := range m.Header {
		req.Header[h.Name] = append(req.Header[h.Name], h.Value)
	}
	return req
}

// toBitmap returns the positions as a bitmap, which is shorter than the names of the shards.
func toBitmap(positions []int) []byte {
	var b []byte
	for _, i := range positions {
		for len(b) <= i/8 {
			b = append(b, 0)
		}
		b[i/8] |= 1 << (i % 8)
	}
	return b
}

// fromBitmap returns the positions in a bitmap, in ascending order. It never returns nil, because a forwarded query is
// always a part.
func fromBitmap(b []byte) []int {
	positions := []int{}
	for i, bits := range b {
		for j := range 8 {
			if bits&(1<<j) != 0 {
				positions = append(positions, 8*i+j)
			}
		}
	}
	return positions
}

// newResultMessage returns the message that carries the answer to the query with the given ID. If more is true, further
// messages will follow it.
func newResultMessage(id uint64, a forward.Answer, more bool) *wire.Envelope {
	m := &wire.QueryResult{
		ID: id, Code: int(a.Code), Records: append([]byte{}, a.Records...), Stamps: append([]string{}, a.Stamps...),
		Missing: a.Missing, RetryAfter: a.RetryAfter, More: more,
	}
	return &wire.Envelope{Kind: codec.KindQueryResult, QueryResult: m}
}

// answerFromMessage returns the answer in a result message.
func answerFromMessage(m *wire.QueryResult) forward.Answer {
	return forward.Answer{
		Code: result.Code(m.Code), Records: m.Records, Stamps: m.Stamps, Missing: m.Missing, RetryAfter: m.RetryAfter, Sharded: true,
	}
}
