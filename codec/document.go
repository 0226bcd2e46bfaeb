package codec

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"unicode/utf8"

	"pistachioshore.dev/result"
)

// node is a value of a document in the form that JSON Schema checks:
// nil, bool, json.Number, string, []any or map[string]any.
type node any

// readDocument reads a document in JSON or YAML and returns it with the faults of its syntax.
func readDocument(raw []byte) (node, []*result.Error) {
	if !utf8.Valid(raw) {
		return nil, []*result.Error{result.New(result.Malformed, "the file is not UTF-8 text")}
	}
	if !json.Valid(raw) {
		return readYAML(raw)
	}
	r := jsonReader{dec: json.NewDecoder(bytes.NewReader(raw))}
	r.dec.UseNumber()
	doc := r.value("")
	return doc, r.faults
}

// jsonReader reads a valid JSON text; unlike encoding/json it reports repeated keys.
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
		return number(t.String())
	default:
		return t
	}
}

func (r *jsonReader) object(path string) node {
	fields := map[string]any{}
	for r.dec.More() {
		token, _ := r.dec.Token() // a valid text has a string here
		key, _ := token.(string)
		at := fieldPath(path, key)
		if _, again := fields[key]; again {
			r.faults = append(r.faults, repeatedKey(at))
		}
		fields[key] = r.value(at)
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

func repeatedKey(path string) *result.Error {
	return result.NewFieldError(result.DuplicateName, path, "", "a key that is given once")
}

// maxExact is the largest whole number up to which every float64 is exact.
const maxExact = 1 << 53

// number returns a number in the form that both the schema and the decoder accept: 3.0 and 3e0 are
// whole numbers in JSON Schema, but not for encoding/json. A number beyond float64 becomes text,
// which is of a wrong type, because exact arithmetic on a large exponent takes memory in proportion
// to its value.
func number(text string) node {
	if _, err := strconv.ParseInt(text, 10, 64); err == nil {
		return json.Number(text)
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	if f == math.Trunc(f) && math.Abs(f) < maxExact {
		return json.Number(strconv.FormatInt(int64(f), 10))
	}
	return json.Number(strconv.FormatFloat(f, 'g', -1, 64))
}
