// Package wire holds the message types that are generated from the JSON Schemas in schema/.
package wire

import "embed"

// Schemas holds the JSON Schemas; schema/configuration.schema.json validates configuration files.
//
//go:embed schema/*.json
var Schemas embed.FS

//go:generate env GOWORK=off go tool -modfile=../tools/go.mod go-jsonschema --only-models --tags json --capitalization ID --capitalization VM --schema-root-type configuration.schema.json=Configuration --package wire --output wire.go schema/caller.schema.json schema/configuration.schema.json schema/peer.schema.json schema/platform.schema.json schema/records.schema.json schema/upstream.schema.json
