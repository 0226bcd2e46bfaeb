package sample

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioshore.dev/record"
)

// recordsPerShard is the number of records that each shard of the sample holds.
const recordsPerShard = 40

var models = []string{"hydraulic pump", "pedal", "upholstery kit", "cylinder", "roof prism", "lens blank", "penta prism", "pitch lap"}

// Records returns the records of one shard in one snapshot; equal arguments give equal records.
func Records(shard, from, group string, snapshot uint64) []record.Record {
	r := rand.New(rand.NewPCG(xxhash.Sum64String(shard), snapshot))
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	out := make([]record.Record, 0, recordsPerShard)
	for n := range recordsPerShard {
		rec := record.Record{
			Schema:   1 + n%2,
			Kind:     kindOf(group, n),
			Key:      fmt.Sprintf("%s%04d", from[:len(from)-4], n),
			Updated:  epoch.Add(time.Duration(snapshot)*24*time.Hour + time.Duration(n)*time.Minute),
			Quantity: r.IntN(50),
		}
		model := models[r.IntN(len(models))]
		if rec.Schema == 1 {
			rec.Description = fmt.Sprintf("%s, snapshot %d", model, snapshot)
		} else {
			rec.Model = model
			rec.Attributes = []record.Attribute{{Name: "snapshot", Value: fmt.Sprint(snapshot)}}
		}
		out = append(out, rec)
	}
	return out
}

func kindOf(group string, n int) record.Kind {
	switch group {
	case "tournees", "suivi-chantier", "order-desk":
		return record.KindJob
	case "workshop-ledger":
		if n%4 == 0 {
			return record.KindMark
		}
		return record.KindBatch
	case "pitch-stock":
		return record.KindBatch
	default:
		return record.KindPart
	}
}
