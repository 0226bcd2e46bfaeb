package record_test

import (
	"fmt"

	"pistachioshore.dev/record"
)

func ExampleSelect() {
	records := []record.Record{
		{Schema: 1, Kind: record.KindPart, Key: "c/02", Description: "hydraulic pump, 4 t"},
		{Schema: 2, Kind: record.KindPart, Key: "c/01", Model: "PX-2", Attributes: []record.Attribute{{Name: "type", Value: "Pump"}}},
		{Schema: 1, Kind: record.KindPart, Key: "c/03", Description: "pump seal"},
		{Schema: 1, Kind: record.KindPart, Key: "c/04", Description: "pedal"},
	}
	selected, matched := record.Select(records, record.Filter{Contains: "pump"}, 2)
	for _, r := range selected {
		fmt.Println(r.Key, "schema", r.Schema)
	}
	fmt.Println(matched, "matched")
	// Output:
	// c/01 schema 2
	// c/02 schema 1
	// 3 matched
}

func ExampleMerge() {
	one := []record.Record{{Key: "a"}, {Key: "d"}}
	two := []record.Record{{Key: "b"}, {Key: "c"}}
	for _, r := range record.Merge([][]record.Record{one, two}, 3) {
		fmt.Println(r.Key)
	}
	// Output:
	// a
	// b
	// c
}
