package audit

import (
	"reflect"
	"slices"
	"time"

	"pistachioshore.dev/record"
)

// CheckAnswers checks that every answer is the whole one to its own request (P5): its records pass the
// caller's filter, are in order and within the limit, and are exactly those that the covered shards
// hold, up to the limit.
func (a *Checker) CheckAnswers() []Violation {
	var out violations
	asked := map[string]string{}
	for _, q := range a.history.Queries {
		if q.Answer == nil {
			continue
		}
		if other, twice := asked[q.RequestID]; twice {
			out.add(CorrectAnswer, q.RequestID, "the answer went to %s and to %s", other, q.Caller)
		}
		asked[q.RequestID] = q.Caller
		a.checkAnswer(&out, q)
	}
	return out
}

func (a *Checker) checkAnswer(out *violations, q Query) {
	records, limit := q.Answer.Records, a.limit(q)
	if i := slices.IndexFunc(records, func(r record.Record) bool { return !q.Filter.Matches(r) }); i >= 0 {
		out.add(CorrectAnswer, q.RequestID, "record %s does not pass the filter of %s", records[i].Key, q.Caller)
	}
	if !slices.IsSortedFunc(records, record.Compare) {
		out.add(CorrectAnswer, q.RequestID, "the records are not in order")
	}
	if len(records) > limit {
		out.add(CorrectAnswer, q.RequestID, "%d records exceed the limit of %d", len(records), limit)
	}
	want, matched := a.expected(q, limit)
	if q.Answer.Matched != matched {
		out.add(CorrectAnswer, q.RequestID, "%d records matched according to the answer, %d do", q.Answer.Matched, matched)
	}
	if len(records) != len(want) {
		out.add(CorrectAnswer, q.RequestID, "the answer has %d records, the covered shards give %d", len(records), len(want))
		return
	}
	for i, r := range records {
		if !same(r, want[i]) {
			out.add(CorrectAnswer, q.RequestID, "record %s differs from what the shard holds as %s", r.Key, want[i].Key)
			return
		}
	}
}

// limit returns the most records that the answer may have.
func (a *Checker) limit(q Query) int {
	limit := a.history.Catalog.Limits.AnswerRecords
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	return limit
}

// expected returns what the covered shards hold for a query, and how many of their records match.
func (a *Checker) expected(q Query, limit int) (records []record.Record, matched int) {
	shards, _ := a.history.Catalog.Shards(q.Answer.Snapshot, q.Groups)
	var all []record.Record
	for _, s := range named(shards, q.Answer.Covered) {
		all = append(all, a.history.Records(s, q.Answer.Snapshot)...)
	}
	return record.Select(all, q.Filter, limit)
}

// same reports whether two records are equal in every field; records must pass through unmodified.
func same(a, b record.Record) bool {
	if !a.Updated.Equal(b.Updated) {
		return false
	}
	a.Updated, b.Updated = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}
