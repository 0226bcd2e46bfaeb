package relay

import (
	"strings"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/forward"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// toForward returns the message for a query.
func toForward(id uint64, req *forward.Request, l forward.RelayLimits) *wire.Envelope {
	now := time.Now()
	m := &wire.QueryForward{
		ID: id, RequestID: req.ID, Method: req.Method, Target: req.Target, Host: req.Host, Header: []wire.HeaderLine{},
		Body: append([]byte{}, req.Body...), Waited: now.Sub(req.ReceivedAt), Transit: req.Transit + hop,
		Left: max(l.Deadline.Sub(now)-hop, time.Millisecond), Version: l.MinConfigVersion, Tried: req.PriorAttempts,
	}
	for name, values := range req.Header {
		for _, v := range values {
			m.Header = append(m.Header, wire.HeaderLine{Name: name, Value: v})
		}
	}
	return &wire.Envelope{Kind: codec.KindQueryForward, QueryForward: m}
}

// fromForward returns the request of a message that arrived at now.
func fromForward(m *wire.QueryForward, now time.Time) *forward.Request {
	req := &forward.Request{
		ID: m.RequestID, Method: m.Method, Target: m.Target, Host: m.Host, Body: m.Body, Header: map[string][]string{},
		ReceivedAt: now.Add(-m.Waited), Deadline: now.Add(m.Left), Transit: m.Transit, Relayed: true, MinConfigVersion: m.Version, PriorAttempts: m.Tried,
	}
	req.Path, _, _ = strings.Cut(m.Target, "?")
	for _, h := range m.Header {
		req.Header[h.Name] = append(req.Header[h.Name], h.Value)
	}
	return req
}

// toResult returns the message for an answer.
func toResult(id uint64, a forward.Answer) *wire.Envelope {
	m := &wire.QueryResult{
		ID: id, Code: int(a.Code), Records: append([]byte{}, a.Records...), Stamps: append([]string{}, a.Stamps...),
		Missing: a.Missing, RetryAfter: a.RetryAfter,
	}
	return &wire.Envelope{Kind: codec.KindQueryResult, QueryResult: m}
}

// fromResult returns the answer of a message.
func fromResult(m *wire.QueryResult) forward.Answer {
	return forward.Answer{
		Code: result.Code(m.Code), Records: m.Records, Stamps: m.Stamps, Missing: m.Missing, RetryAfter: m.RetryAfter, Sharded: true,
	}
}
