package codec

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"unicode/utf8"

	"pistachioshore.dev/result"
)

// node is a value of a parsed document in the form that the JSON Schema validator expects:
// nil, bool, json.Number, string, []any or map[string]any.
type node any

// parseDocument parses a document in JSON or YAML and returns it with its syntax faults.
func parseDocument(raw []byte) (node, []*result.Error) {
	if !utf8.Valid(raw) {
		return nil, []*result.Error{result.New(result.Malformed, "the file is not UTF-8 text")}
	}
	if !json.Valid(raw) {
		return parseYAML(raw)
	}
	r := jsonReader{dec: json.NewDecoder(bytes.NewReader(raw))}
	r.dec.UseNumber()
	doc := r.value("")
	return doc, r.faults
}

// jsonReader builds the document of a valid JSON text; unlike encoding/json it reports duplicate keys.
type jsonReader struct {
	dec    *json.Decoder
	faults []*result.Error
}

func (r *jsonReader) value(path string) node {
	token, err := r.dec.Token()
	if err != nil {
		r.faults = append(r.faults, result.NewFieldError(result.Malformed, path, "", "a JSON value"))
		return nil
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return r.object(path)
		}
		return r.array(path)
	case json.Number:
		return normalizeNumber(t.String())
	default:
		return t
	}
}

func (r *jsonReader) object(path string) node {
	fields := map[string]any{}
	for r.dec.More() {
		token, _ := r.dec.Token() // always a string in a valid text
		key, _ := token.(string)
		keyPath := fieldPath(path, key)
		if _, duplicate := fields[key]; duplicate {
			r.faults = append(r.faults, duplicateKeyFault(keyPath))
		}
		fields[key] = r.value(keyPath)
	}
	_, _ = r.dec.Token() // the closing brace
	return fields
}

func (r *jsonReader) array(path string) node {
	items := []any{}
	for r.dec.More() {
		items = append(items, r.value(itemPath(path, len(items))))
	}
	_, _ = r.dec.Token() // the closing bracket
	return items
}

func duplicateKeyFault(path string) *result.Error {
	return result.NewFieldError(result.DuplicateName, path, "", "a key that is given once")
}

// maxExactInteger is 2 to the power of 53; float64 represents every whole number up to it exactly.
const maxExactInteger = 1 << 53

// normalizeNumber returns a number in a form that both the schema validator and encoding/json accept: 3.0
// and 3e0 are whole numbers in JSON Schema, but not in encoding/json. A number outside the range of float64
// becomes text, which is rejected as a wrong type, because exact arithmetic on a large exponent takes memory
// in proportion to its value.
func normalizeNumber(text string) node {
	if _, err := strconv.ParseInt(text, 10, 64); err == nil {
		return json.Number(text)
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	if f == math.Trunc(f) && math.Abs(f) < maxExactInteger {
		return json.Number(strconv.FormatInt(int64(f), 10))
	}
	return json.Number(strconv.FormatFloat(f, 'g', -1, 64))
}
