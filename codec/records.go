package codec

import (
	"pistachioshore.dev/record"
	"pistachioshore.dev/wire"
)

// ToWireRecords converts records for a message.
func ToWireRecords(records []record.Record) []wire.Record {
	out := make([]wire.Record, 0, len(records))
	for _, r := range records {
		w := wire.Record{
			Schema: r.Schema, Kind: string(r.Kind), Key: r.Key, Updated: r.Updated,
			Description: r.Description, Model: r.Model, Quantity: r.Quantity,
		}
		for _, a := range r.Attributes {
			w.Attributes = append(w.Attributes, wire.Attribute(a))
		}
		out = append(out, w)
	}
	return out
}

// FromWireRecords converts received records.
func FromWireRecords(records []wire.Record) []record.Record {
	out := make([]record.Record, 0, len(records))
	for _, w := range records {
		r := record.Record{
			Schema: w.Schema, Kind: record.Kind(w.Kind), Key: w.Key, Updated: w.Updated,
			Description: w.Description, Model: w.Model, Quantity: w.Quantity,
		}
		for _, a := range w.Attributes {
			r.Attributes = append(r.Attributes, record.Attribute(a))
		}
		out = append(out, r)
	}
	return out
}

// ToWireFilter converts a filter for a message.
func ToWireFilter(f record.Filter) wire.Filter {
	return wire.Filter{Kind: string(f.Kind), KeyFrom: f.KeyFrom, KeyTo: f.KeyTo, Contains: f.Contains}
}

// FromWireFilter converts a received filter; nil matches every record.
func FromWireFilter(w *wire.Filter) record.Filter {
	if w == nil {
		return record.Filter{}
	}
	return record.Filter{Kind: record.Kind(w.Kind), KeyFrom: w.KeyFrom, KeyTo: w.KeyTo, Contains: w.Contains}
}
