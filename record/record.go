// Package record defines the firms' records in their schema versions, and how answers filter, order and bound them.
package record

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what a record describes.
type Kind string

// The kinds of records.
const (
	KindPart       Kind = "part"
	KindJob        Kind = "job"
	KindBatch      Kind = "batch"
	KindRejectMark Kind = "reject-mark"
)

// Record is one entry of a shard. Schema 1 has a free-text Description; schema 2 replaces it by
// Model and Attributes. Both pass through the tier unchanged.
type Record struct {
	Schema      int
	Kind        Kind
	Key         string
	Updated     time.Time
	Description string
	Model       string
	Attributes  []Attribute
	Quantity    int
}

// Attribute is a named property of a record of schema 2.
type Attribute struct {
	Name  string
	Value string
}

// Filter selects records; empty fields match everything.
type Filter struct {
	Kind     Kind
	KeyFrom  string // inclusive
	KeyTo    string // exclusive, empty for no end
	Contains string // matched in any text of the record, without regard to case
}

// Matches reports whether the record passes the filter.
func (f Filter) Matches(r Record) bool {
	if f.Kind != "" && r.Kind != f.Kind {
		return false
	}
	if r.Key < f.KeyFrom || (f.KeyTo != "" && r.Key >= f.KeyTo) {
		return false
	}
	return f.Contains == "" || r.contains(strings.ToLower(f.Contains))
}

func (r Record) contains(text string) bool {
	if strings.Contains(strings.ToLower(r.Key), text) ||
		strings.Contains(strings.ToLower(r.Description), text) ||
		strings.Contains(strings.ToLower(r.Model), text) {
		return true
	}
	return slices.ContainsFunc(r.Attributes, func(a Attribute) bool {
		return strings.Contains(strings.ToLower(a.Value), text)
	})
}

// Compare orders records by key, then kind, then newest update first.
func Compare(a, b Record) int {
	return cmp.Or(
		strings.Compare(a.Key, b.Key),
		strings.Compare(string(a.Kind), string(b.Kind)),
		b.Updated.Compare(a.Updated),
	)
}

// Select returns the first limit records, in order, that pass the filter, and how many passed.
func Select(records []Record, f Filter, limit int) (selected []Record, matched int) {
	for _, r := range records {
		if f.Matches(r) {
			selected = append(selected, r)
		}
	}
	matched = len(selected)
	slices.SortStableFunc(selected, Compare)
	return bound(selected, limit), matched
}

// Merge combines ordered parts into one ordered list of at most limit records.
func Merge(parts [][]Record, limit int) []Record {
	var all []Record
	for _, p := range parts {
		all = append(all, p...)
	}
	slices.SortStableFunc(all, Compare)
	return bound(all, limit)
}

func bound(records []Record, limit int) []Record {
	if limit > 0 && len(records) > limit {
		return records[:limit]
	}
	return records
}
