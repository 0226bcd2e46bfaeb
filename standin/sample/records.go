package sample

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
	"pistachioshore.dev/standin/upstream"
)

// recordsPerRange is the number of records in each key range of the layout named first.
const recordsPerRange = 40

// maxRanges is the maximum number of key ranges of a group, because Key writes their index with three digits.
const maxRanges = 1000

// snapshotAttribute names the attribute that holds the snapshot of a record; in a description, it is the word
// before the snapshot's number.
const snapshotAttribute = "snapshot"

// epoch is the update time of the first record in each key range of snapshot 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Records returns the records of a shard in a snapshot, in key order. It is deterministic, and the records of
// a snapshot as a whole do not depend on its layout.
func Records(shard catalog.Shard, snapshot uint64) []record.Record {
	var out []record.Record
	for index := parseRangeIndex(shard.From); index < maxRanges && Key(shard.Group, index, 0) < shard.To; index++ {
		for _, r := range rangeRecords(shard.Group, index, snapshot) {
			if r.Key >= shard.From && r.Key < shard.To {
				out = append(out, r)
			}
		}
	}
	return out
}

// Loader returns the loader for the upstreams of a service. They serve a shard only in the snapshots whose
// layout places it on the service.
func Loader(cfg *catalog.Config, service string) upstream.Loader {
	type shardVersion struct {
		shard    string
		snapshot uint64
	}
	loaders := map[shardVersion]func() []record.Record{}
	groups := make([]string, 0, len(cfg.Groups))
	for _, g := range cfg.Groups {
		groups = append(groups, g.Name)
	}
	for _, snap := range cfg.Snapshots {
		shards, _ := cfg.Shards(snap.Version, groups)
		for _, s := range shards {
			if s.Service == service {
				loaders[shardVersion{s.Name, snap.Version}] = sync.OnceValue(func() []record.Record { return Records(s, snap.Version) })
			}
		}
	}
	return func(shard string, snapshot uint64) ([]record.Record, bool) {
		records, ok := loaders[shardVersion{shard, snapshot}]
		if !ok {
			return nil, false
		}
		return records(), true
	}
}

// SnapshotOf returns the snapshot version that a generated record contains, and false if it contains none.
func SnapshotOf(r record.Record) (uint64, bool) {
	text := ""
	if _, after, ok := strings.Cut(r.Description, snapshotAttribute+" "); ok {
		text = after
	}
	for _, a := range r.Attributes {
		if a.Name == snapshotAttribute {
			text = a.Value
		}
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, err == nil
}

func parseRangeIndex(key string) int {
	parts := strings.Split(key, "/")
	if len(parts) < 2 {
		return 0
	}
	n, _ := strconv.Atoi(parts[1]) // Key always writes a number here
	return n
}

func rangeRecords(group string, rangeIndex int, snapshot uint64) []record.Record {
	r := rand.New(rand.NewPCG(xxhash.Sum64String(Key(group, rangeIndex, 0)), snapshot))
	out := make([]record.Record, 0, recordsPerRange)
	for n := range recordsPerRange {
		out = append(out, makeRecord(r, group, rangeIndex, n, snapshot))
	}
	return out
}

func makeRecord(r *rand.Rand, group string, rangeIndex, n int, snapshot uint64) record.Record {
	kind, template := templateFor(group, n)
	rec := record.Record{
		Schema: 1 + n%2, Kind: kind, Key: Key(group, rangeIndex, n), Quantity: r.IntN(50),
		Updated: epoch.Add(time.Duration(snapshot)*24*time.Hour + time.Duration(n)*time.Minute),
	}
	model := template.models[r.IntN(len(template.models))]
	detail := template.details[r.IntN(len(template.details))]
	if rec.Schema == 1 {
		rec.Description = fmt.Sprintf("%s, %s, %s %d", model, detail, snapshotAttribute, snapshot)
		return rec
	}
	rec.Model = model
	rec.Attributes = []record.Attribute{
		{Name: template.attribute, Value: detail},
		{Name: snapshotAttribute, Value: strconv.FormatUint(snapshot, 10)},
	}
	return rec
}
