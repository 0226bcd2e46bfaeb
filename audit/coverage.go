package audit

import (
	"maps"
	"slices"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
)

// CheckCoverage checks that the covered and missing shards of an answer are exactly those of the shard map, that an
// upstream served each covered shard, and that every record comes from a covered shard (P2).
func (a *Checker) CheckCoverage() []Violation {
	var out violations
	for _, q := range a.history.Queries {
		if q.Answer != nil {
			a.checkCoverage(&out, q)
		}
	}
	return out
}

func (a *Checker) checkCoverage(out *violations, q Query) {
	shards, ok := a.history.Catalog.Shards(q.Answer.Snapshot, q.Groups)
	if !ok {
		out.add(AccurateCoverage, q.RequestID, "snapshot %d is not in the catalog", q.Answer.Snapshot)
		return
	}
	checkShardMap(out, q, shards)
	for _, name := range q.Answer.Covered {
		served := func(s Start) bool { return s.Served && s.Snapshot == q.Answer.Snapshot }
		if !slices.ContainsFunc(a.startsOf(q.RequestID, name), served) {
			out.add(AccurateCoverage, q.RequestID, "shard %s is listed as covered, but no upstream served it", name)
		}
	}
	covered := named(shards, q.Answer.Covered)
	elsewhere := func(r record.Record) bool {
		return !slices.ContainsFunc(covered, func(s catalog.Shard) bool { return holds(s, r) })
	}
	if i := slices.IndexFunc(q.Answer.Records, elsewhere); i >= 0 {
		out.add(AccurateCoverage, q.RequestID, "record %s belongs to no covered shard", q.Answer.Records[i].Key)
	}
	if complete := q.Code == result.Complete; complete != (len(q.Answer.Missing) == 0) {
		out.add(AccurateCoverage, q.RequestID, "the result is %s with %d shards missing", q.Code, len(q.Answer.Missing))
	}
}

// checkShardMap checks that an answer lists each shard exactly once, as covered or as missing.
func checkShardMap(out *violations, q Query, shards []catalog.Shard) {
	stated := map[string]int{}
	for _, name := range slices.Concat(q.Answer.Covered, q.Answer.Missing) {
		stated[name]++
	}
	for _, s := range shards {
		if n := stated[s.Name]; n != 1 {
			out.add(AccurateCoverage, q.RequestID, "shard %s of the shard map is listed %d times", s.Name, n)
		}
		delete(stated, s.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(stated)) {
		out.add(AccurateCoverage, q.RequestID, "shard %s is not in the shard map of snapshot %d", name, q.Answer.Snapshot)
	}
}

func named(shards []catalog.Shard, names []string) []catalog.Shard {
	var out []catalog.Shard
	for _, s := range shards {
		if slices.Contains(names, s.Name) {
			out = append(out, s)
		}
	}
	return out
}

func holds(s catalog.Shard, r record.Record) bool {
	return r.Key >= s.From && (s.To == "" || r.Key < s.To)
}
