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

// configFormat is the version of the configuration format that this program reads.
const configFormat = "1"

// maxValues is more than the shortest valid entries of 1 MiB have. It bounds the memory for the
// faults of a file that is wrong throughout.
const maxValues = 1 << 17

// ParseConfig reads a published configuration file in YAML or JSON.
//
// It returns either the configuration or its faults, at most MaxFaults, sorted by path. The same
// bytes give the same faults on every VM. A file that cannot be parsed or that is of another
// format version has only the faults that say so, because its fields have no known meaning.
func ParseConfig(raw []byte) (*catalog.Config, []*result.Error) {
	if len(raw) > MaxConfigBytes {
		return nil, []*result.Error{result.New(result.ValueTooLarge, "the configuration exceeds 1 MiB")}
	}
	doc, faults := readDocument(raw)
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

// build checks the document and converts it; the configuration is complete only if there are no faults.
func (l *faultList) build(doc node) *catalog.Config {
	s, err := configSchema()
	if err != nil {
		l.add(result.New(result.Malformed, clip(err.Error())))
		return nil
	}
	violations := s.violations(doc)
	for _, v := range violations {
		l.add(v.fault)
	}
	if _, mapping := doc.(map[string]any); !mapping {
		return nil
	}
	// What is left without the values that cannot be decoded is checked too, so that one run finds all faults.
	for _, v := range violations {
		if !v.keep {
			remove(doc, v.location)
		}
	}
	settings, err := decodeNode(doc)
	if err != nil {
		l.add(coded(err))
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
		return wire.Configuration{}, result.New(result.Malformed, clip(err.Error()))
	}
	return DecodeJSON[wire.Configuration](bytes.NewReader(body), len(body))
}

// coded returns the coded error in err, or a malformed fault with its text.
func coded(err error) *result.Error {
	var fault *result.Error
	if errors.As(err, &fault) {
		return fault
	}
	return result.New(result.Malformed, clip(err.Error()))
}

// Digest returns the digest by which two published values are told apart.
func Digest(raw []byte) uint64 {
	return xxhash.Sum64(raw)
}
