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
func (c *Checker) CheckCoverage() []Violation {
	var out violations
	for _, q := range c.history.Queries {
		if q.Answer != nil {
			c.checkAnswerCoverage(&out, q)
		}
	}
	return out
}

func (c *Checker) checkAnswerCoverage(out *violations, q Query) {
	shards, ok := c.history.Catalog.Shards(q.Answer.Snapshot, q.Groups)
	if !ok {
		out.add(AccurateCoverage, q.RequestID, "snapshot %d is not in the catalog", q.Answer.Snapshot)
		return
	}
	checkShardMap(out, q, shards)
	for _, name := range q.Answer.Covered {
		served := func(s Start) bool { return s.Served && s.Snapshot == q.Answer.Snapshot }
		if !slices.ContainsFunc(c.shardStarts(q.RequestID, name), served) {
			out.add(AccurateCoverage, q.RequestID, "shard %s is listed as covered, but no upstream served it", name)
		}
	}
	covered := shardsByName(shards, q.Answer.Covered)
	notCovered := func(r record.Record) bool {
		return !slices.ContainsFunc(covered, func(s catalog.Shard) bool { return shardContains(s, r) })
	}
	if i := slices.IndexFunc(q.Answer.Records, notCovered); i >= 0 {
		out.add(AccurateCoverage, q.RequestID, "record %s belongs to no covered shard", q.Answer.Records[i].Key)
	}
	if complete := q.Code == result.Complete; complete != (len(q.Answer.Missing) == 0) {
		out.add(AccurateCoverage, q.RequestID, "the result is %s with %d shards missing", q.Code, len(q.Answer.Missing))
	}
}

// checkShardMap checks that an answer lists each shard exactly once, as covered or as missing.
func checkShardMap(out *violations, q Query, shards []catalog.Shard) {
	listed := map[string]int{}
	for _, name := range slices.Concat(q.Answer.Covered, q.Answer.Missing) {
		listed[name]++
	}
	for _, s := range shards {
		if n := listed[s.Name]; n != 1 {
			out.add(AccurateCoverage, q.RequestID, "shard %s of the shard map is listed %d times", s.Name, n)
		}
		delete(listed, s.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		out.add(AccurateCoverage, q.RequestID, "shard %s is not in the shard map of snapshot %d", name, q.Answer.Snapshot)
	}
}

func shardsByName(shards []catalog.Shard, names []string) []catalog.Shard {
	var out []catalog.Shard
	for _, s := range shards {
		if slices.Contains(names, s.Name) {
			out = append(out, s)
		}
	}
	return out
}

func shardContains(s catalog.Shard, r record.Record) bool {
	return r.Key >= s.From && (s.To == "" || r.Key < s.To)
}
