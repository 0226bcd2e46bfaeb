package codec

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// MaxConfigBytes is the largest value that the platform's configuration service holds.
const MaxConfigBytes = 1 << 20

// MaxDeadline bounds the deadlines of routes and callers.
const MaxDeadline = catalog.MaxDeadline

// configFormat is the supported version of the configuration format.
const configFormat = "1"

// maxValues bounds the number of values in a file, and thereby the memory for the faults of a file that is
// invalid throughout. A valid file of 1 MiB stays below it even with the shortest possible entries.
const maxValues = 1 << 17

// ParseConfig parses and validates a published configuration file in YAML or JSON.
//
// It returns either the configuration or the faults found in it, at most MaxFaults, sorted by path. A
// fault is an error with a result code. The same bytes give the same faults on every VM. If the file
// cannot be parsed or has another format version, only that is reported, because the meaning of its
// fields is not known.
func ParseConfig(raw []byte) (*catalog.Config, []*result.Error) {
	if len(raw) > MaxConfigBytes {
		return nil, []*result.Error{result.New(result.ValueTooLarge, "the configuration exceeds 1 MiB")}
	}
	doc, faults := parseDocument(raw)
	l := faultList{faults: faults}
	if doc == nil && len(faults) > 0 {
		return nil, l.sorted()
	}
	if countValues(doc) > maxValues {
		return nil, []*result.Error{result.NewFieldError(result.ValueTooLarge, "", "", fmt.Sprintf("at most %d values", maxValues))}
	}
	if f := unsupportedFormat(doc); f != nil {
		return nil, []*result.Error{f}
	}
	cfg := l.build(doc)
	if len(l.faults) > 0 {
		return nil, l.sorted()
	}
	cfg.Digest = Digest(raw)
	cfg.BuildIndex()
	return cfg, nil
}

func countValues(doc node) int {
	n := 1
	switch v := doc.(type) {
	case []any:
		for _, item := range v {
			n += countValues(item)
		}
	case map[string]any:
		for _, field := range v {
			n += countValues(field)
		}
	}
	return n
}

func unsupportedFormat(doc node) *result.Error {
	fields, _ := doc.(map[string]any)
	format, ok := fields["format"].(json.Number)
	if !ok || format == configFormat {
		return nil
	}
	return result.NewFieldError(result.UnsupportedFormat, "format", format.String(), configFormat)
}

// build validates and converts the document; the configuration is complete only if no fault was found.
func (l *faultList) build(doc node) *catalog.Config {
	s, err := configSchema()
	if err != nil {
		l.add(result.New(result.Malformed, singleLine(err.Error())))
		return nil
	}
	violations := s.violations(doc)
	for _, v := range violations {
		l.add(v.fault)
	}
	if _, mapping := doc.(map[string]any); !mapping {
		return nil
	}
	// The document is checked further without the values that cannot be decoded, so that one run finds all faults.
	for _, v := range violations {
		if !v.decodable {
			removeValue(doc, v.location)
		}
	}
	settings, err := decodeNode(doc)
	if err != nil {
		l.add(codedOrMalformed(err))
		return nil
	}
	p := settingsParser{}
	cfg := p.config(settings)
	l.addDerived(p.faults...)
	l.addDerived(catalog.Validate(cfg)...)
	return cfg
}

func decodeNode(doc node) (wire.Configuration, error) {
	body, err := json.Marshal(doc)
	if err != nil {
		return wire.Configuration{}, result.New(result.Malformed, singleLine(err.Error()))
	}
	return DecodeJSON[wire.Configuration](bytes.NewReader(body), len(body))
}

// codedOrMalformed returns the *result.Error that err wraps, or a malformed fault with the text of err.
func codedOrMalformed(err error) *result.Error {
	var fault *result.Error
	if errors.As(err, &fault) {
		return fault
	}
	return result.New(result.Malformed, singleLine(err.Error()))
}

// Digest returns a hash that identifies a published value.
func Digest(raw []byte) uint64 {
	return xxhash.Sum64(raw)
}
