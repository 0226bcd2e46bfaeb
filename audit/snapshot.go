package audit

import (
	"slices"

	"pistachioshore.dev/record"
)

// CheckSnapshots checks that every record of an answer belongs to the snapshot that the answer names, and that every
// covered shard was queried in that snapshot (P1).
func (a *Checker) CheckSnapshots() []Violation {
	var out violations
	for _, q := range a.history.Queries {
		if q.Answer != nil {
			a.checkSnapshot(&out, q)
		}
	}
	return out
}

func (a *Checker) checkSnapshot(out *violations, q Query) {
	want := q.Answer.Snapshot
	other := func(r record.Record) bool {
		got, ok := a.history.SnapshotOf(r)
		return !ok || got != want
	}
	if i := slices.IndexFunc(q.Answer.Records, other); i >= 0 {
		out.add(OneSnapshot, q.RequestID, "record %s does not come from snapshot %d of the answer", q.Answer.Records[i].Key, want)
	}
	for _, shard := range q.Answer.Covered {
		started := a.startsOf(q.RequestID, shard)
		if len(started) > 0 && !slices.ContainsFunc(started, func(s Start) bool { return s.Snapshot == want }) {
			out.add(OneSnapshot, q.RequestID, "shard %s was started in snapshot %d, the answer names %d", shard, started[0].Snapshot, want)
		}
	}
}

// shardStarts returns the starts of one shard of a request.
func (a *Checker) startsOf(request, shard string) []Start {
	var out []Start
	for _, s := range a.starts[request] {
		if s.Shard == shard {
			out = append(out, s)
		}
	}
	return out
}
