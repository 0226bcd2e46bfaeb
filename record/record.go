// Package record defines the records that shards return, in all schema versions, and filters, sorts and merges them.
package record

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the type of object that a record describes.
type Kind string

// Kinds of records.
const (
	KindPart       Kind = "part"
	KindJob        Kind = "job"
	KindBatch      Kind = "batch"
	KindRejectMark Kind = "reject-mark"
)

// Record is an entry of a shard. Schema 1 has a free-text Description, which schema 2 replaces with Model and
// Attributes. The query tier returns records of both schemas unchanged.
type Record struct {
	Schema      int // version of the record's schema, 1 or 2
	Kind        Kind
	Key         string
	Updated     time.Time   // time of the last change
	Description string      // schema 1 only
	Model       string      // schema 2 only
	Attributes  []Attribute // schema 2 only
	Quantity    int
}

// Attribute is a named attribute of a schema 2 record.
type Attribute struct {
	Name  string
	Value string
}

// Filter selects records. Empty fields match all records.
type Filter struct {
	Kind     Kind
	KeyFrom  string // inclusive
	KeyTo    string // exclusive; empty for no upper bound
	Contains string // case-insensitive substring of any text in the record
}

// Matches reports whether the record matches the filter.
func (f Filter) Matches(r Record) bool {
	if f.Kind != "" && r.Kind != f.Kind {
		return false
	}
	if r.Key < f.KeyFrom || (f.KeyTo != "" && r.Key >= f.KeyTo) {
		return false
	}
	return f.Contains == "" || r.contains(strings.ToLower(f.Contains))
}

func (r Record) contains(substring string) bool {
	if strings.Contains(strings.ToLower(r.Key), substring) ||
		strings.Contains(strings.ToLower(r.Description), substring) ||
		strings.Contains(strings.ToLower(r.Model), substring) {
		return true
	}
	return slices.ContainsFunc(r.Attributes, func(a Attribute) bool {
		return strings.Contains(strings.ToLower(a.Value), substring)
	})
}

// Compare orders records by key, then by kind, then by update time with the newest first.
func Compare(a, b Record) int {
	return cmp.Or(
		strings.Compare(a.Key, b.Key),
		strings.Compare(string(a.Kind), string(b.Kind)),
		b.Updated.Compare(a.Updated),
	)
}

// Select returns the first limit matching records in sorted order, and the total number of matches. A limit of 0 means
// no limit.
func Select(records []Record, f Filter, limit int) (selected []Record, matched int) {
	for _, r := range records {
		if f.Matches(r) {
			selected = append(selected, r)
		}
	}
	matched = len(selected)
	slices.SortStableFunc(selected, Compare)
	return truncate(selected, limit), matched
}

// Merge merges sorted lists into one sorted list of at most limit records. A limit of 0 means no limit.
func Merge(lists [][]Record, limit int) []Record {
	var all []Record
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortStableFunc(all, Compare)
	return truncate(all, limit)
}

func truncate(records []Record, limit int) []Record {
	if limit > 0 && len(records) > limit {
		return records[:limit]
	}
	return records
}
