package audit

import (
	"slices"

	"pistachioshore.dev/record"
)

// CheckSnapshots checks that every record of an answer belongs to the snapshot that the answer names, and that every
// covered shard was queried in that snapshot (P1).
func (c *Checker) CheckSnapshots() []Violation {
	var out violations
	for _, q := range c.history.Queries {
		if q.Answer != nil {
			c.checkAnswerSnapshot(&out, q)
		}
	}
	return out
}

func (c *Checker) checkAnswerSnapshot(out *violations, q Query) {
	want := q.Answer.Snapshot
	wrongSnapshot := func(r record.Record) bool {
		got, ok := c.history.SnapshotOf(r)
		return !ok || got != want
	}
	if i := slices.IndexFunc(q.Answer.Records, wrongSnapshot); i >= 0 {
		out.add(OneSnapshot, q.RequestID, "record %s does not come from snapshot %d of the answer", q.Answer.Records[i].Key, want)
	}
	for _, shard := range q.Answer.Covered {
		starts := c.shardStarts(q.RequestID, shard)
		if len(starts) > 0 && !slices.ContainsFunc(starts, func(s Start) bool { return s.Snapshot == want }) {
			out.add(OneSnapshot, q.RequestID, "shard %s was started in snapshot %d, the answer names %d", shard, starts[0].Snapshot, want)
		}
	}
}

// shardStarts returns the starts of one shard of a request.
func (c *Checker) shardStarts(requestID, shard string) []Start {
	var out []Start
	for _, s := range c.starts[requestID] {
		if s.Shard == shard {
			out = append(out, s)
		}
	}
	return out
}
