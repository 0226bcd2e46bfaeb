package audit

import (
	"fmt"
	"net/http"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// FromWireCounts converts the counts of the stand-ins, which come from a call in this process or from GET /v1/starts.
func FromWireCounts(counts []wire.UpstreamCounts) []UpstreamCounts {
	out := make([]UpstreamCounts, 0, len(counts))
	for _, c := range counts {
		out = append(out, fromWireUpstreamCounts(c))
	}
	return out
}

func fromWireUpstreamCounts(c wire.UpstreamCounts) UpstreamCounts {
	u := UpstreamCounts{
		Name: c.Upstream, Zone: c.Zone, ColdLimit: c.ColdLimit, ConnectionLimit: c.ConnectionLimit,
		PeakConnections: c.ConnectionsMaximum, ConnectionsOverLimit: c.ConnectionsOverLimit, DroppedEntries: c.Dropped,
	}
	for _, s := range c.Starts {
		u.Starts = append(u.Starts, Start{
			RequestID: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, At: s.At,
			InFlight: s.Running, Cold: s.Cold, Served: s.Outcome == "served",
		})
	}
	for _, rejected := range c.TurnedAway {
		if rejected.Status == http.StatusServiceUnavailable {
			u.RefusedArrivals = append(u.RefusedArrivals, Arrival{RequestID: rejected.Request, At: rejected.At})
		}
	}
	for _, e := range c.Effects {
		u.Effects = append(u.Effects, Effect{
			RequestID: e.Request, Operation: e.Operation, Key: e.Key, Quantity: e.Quantity, Receipt: e.Receipt, At: e.At,
		})
	}
	for _, crash := range c.Crashes {
		if crash.Cause == "poison" {
			u.PoisonCrashes = append(u.PoisonCrashes, Crash{At: crash.At, RequestID: crash.Request, Fingerprint: crash.Fingerprint})
		}
	}
	return u
}

// SetAnswer sets the outcome from a received answer.
func (q *Query) SetAnswer(w wire.QueryAnswer) {
	q.RequestID, q.Code = w.RequestID, result.Code(w.Code)
	q.Answer = &Answer{
		Snapshot: w.Snapshot, Revision: w.Revision, Covered: w.Coverage.Covered,
		Records: codec.FromWireRecords(w.Records), Matched: w.Matched,
	}
	for _, m := range w.Coverage.Missing {
		q.Answer.Missing = append(q.Answer.Missing, m.Shard)
	}
}

// SetAnswer sets the outcome from a received answer.
func (o *Order) SetAnswer(w wire.OrderAnswer) {
	o.RequestID, o.Code, o.Receipt = w.RequestID, result.Code(w.Code), w.Receipt
}

// SetRefusal sets the outcome from a received refusal.
func (c *Call) SetRefusal(w wire.Refusal) {
	c.RequestID, c.Code = w.RequestID, result.Code(w.Code)
}

// PermitID returns an ID that is unique to a permit.
func PermitID(p wire.Permit) string {
	return fmt.Sprintf("%s/%d/%d", p.Issuer, p.Incarnation, p.Sequence)
}
