package audit

import (
	"reflect"
	"slices"
	"time"

	"pistachioshore.dev/record"
)

// CheckAnswers checks that every answer belongs to its request and is complete (P5): its records match the caller's
// filter, are sorted, do not exceed the limit, and are exactly those that the covered shards hold, up to the limit.
func (c *Checker) CheckAnswers() []Violation {
	var out violations
	callers := map[string]string{}
	for _, q := range c.history.Queries {
		if q.Answer == nil {
			continue
		}
		if firstCaller, duplicate := callers[q.RequestID]; duplicate {
			out.add(CorrectAnswer, q.RequestID, "both %s and %s received the answer", firstCaller, q.Caller)
		}
		callers[q.RequestID] = q.Caller
		c.checkAnswerRecords(&out, q)
	}
	return out
}

func (c *Checker) checkAnswerRecords(out *violations, q Query) {
	records, limit := q.Answer.Records, c.recordLimit(q)
	if i := slices.IndexFunc(records, func(r record.Record) bool { return !q.Filter.Matches(r) }); i >= 0 {
		out.add(CorrectAnswer, q.RequestID, "record %s does not match the filter of %s", records[i].Key, q.Caller)
	}
	if !slices.IsSortedFunc(records, record.Compare) {
		out.add(CorrectAnswer, q.RequestID, "the records are not sorted")
	}
	if len(records) > limit {
		out.add(CorrectAnswer, q.RequestID, "%d records exceed the limit of %d", len(records), limit)
	}
	want, matched := c.expectedRecords(q, limit)
	if q.Answer.Matched != matched {
		out.add(CorrectAnswer, q.RequestID, "the answer states %d matching records, the covered shards hold %d", q.Answer.Matched, matched)
	}
	if len(records) != len(want) {
		out.add(CorrectAnswer, q.RequestID, "the answer has %d records, want %d from the covered shards", len(records), len(want))
		return
	}
	for i, r := range records {
		if !equalRecords(r, want[i]) {
			out.add(CorrectAnswer, q.RequestID, "record %s differs from the record %s of the shard", r.Key, want[i].Key)
			return
		}
	}
}

// recordLimit returns the maximum number of records in the answer.
func (c *Checker) recordLimit(q Query) int {
	limit := c.history.Catalog.Limits.AnswerRecords
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	return limit
}

// expectedRecords returns the records that the covered shards hold for a query, up to the limit, and the number of all
// matching records.
func (c *Checker) expectedRecords(q Query, limit int) (records []record.Record, matched int) {
	shards, _ := c.history.Catalog.Shards(q.Answer.Snapshot, q.Groups)
	var all []record.Record
	for _, s := range shardsByName(shards, q.Answer.Covered) {
		all = append(all, c.history.Records(s, q.Answer.Snapshot)...)
	}
	return record.Select(all, q.Filter, limit)
}

// equalRecords reports whether two records are equal in every field. The tier must not modify records.
func equalRecords(a, b record.Record) bool {
	if !a.Updated.Equal(b.Updated) {
		return false
	}
	a.Updated, b.Updated = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}
