package codec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

const schemaFile = "configuration.schema.json"

// configSchema returns the schema of the configuration, which is compiled once.
var configSchema = sync.OnceValues(compileSchema)

// schema is a compiled JSON Schema with its source, which is used to describe the allowed values in error messages.
type schema struct {
	compiled *jsonschema.Schema
	root     *valueSchema
}

func compileSchema() (*schema, error) {
	text, err := wire.Schemas.ReadFile("schema/" + schemaFile)
	if err != nil {
		return nil, errors.Wrap(err, "read schema")
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "parse schema")
	}
	root := &valueSchema{}
	if err := json.Unmarshal(text, root); err != nil {
		return nil, errors.Wrap(err, "decode schema")
	}
	c := jsonschema.NewCompiler()
	c.UseLoader(rejectingLoader{})
	if err := c.AddResource(schemaFile, doc); err != nil {
		return nil, errors.Wrap(err, "add schema")
	}
	compiled, err := c.Compile(schemaFile)
	return &schema{compiled: compiled, root: root}, errors.Wrap(err, "compile schema")
}

// rejectingLoader is a schema loader that loads nothing: the only schema is embedded in the program and must not refer
// to others.
type rejectingLoader struct{}

// Load returns an error for every URL.
func (rejectingLoader) Load(url string) (any, error) {
	return nil, errors.Newf("schema %s is not embedded", url)
}

// violation is one violation of the schema, converted to a fault with a result code, and the location of the value in
// the document. The location is empty for a missing field.
type violation struct {
	fault     *result.Error
	location  []string
	decodable bool // the document can be decoded without removing the value
}

// violations returns all violations of the schema in no particular order.
func (s *schema) violations(doc node) []violation {
	err := s.compiled.Validate(doc)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	var all []violation
	var walk func(*jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		for _, cause := range e.Causes {
			walk(cause)
		}
		if len(e.Causes) == 0 {
			all = append(all, s.convertError(doc, e)...)
		}
	}
	walk(invalid)
	return all
}

// convertError converts one error of the validator to violations.
func (s *schema) convertError(doc node, e *jsonschema.ValidationError) []violation {
	path, value := locate(doc, e.InstanceLocation)
	allowed := s.schemaAt(e.SchemaURL)
	var all []violation
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			f := result.NewFieldError(result.MissingField, fieldPath(path, name), "", allowed.Properties[name].String())
			all = append(all, violation{fault: f, decodable: true})
		}
	case *kind.AdditionalProperties:
		known := strings.Join(slices.Sorted(maps.Keys(allowed.Properties)), ", ")
		for _, name := range k.Properties {
			f := result.NewFieldError(result.UnknownField, fieldPath(path, name), "", known)
			all = append(all, violation{fault: f, location: append(slices.Clone(e.InstanceLocation), name)})
		}
	case *kind.Type:
		f := result.NewFieldError(result.WrongType, path, valueText(value), allowed.String())
		all = append(all, violation{fault: f, location: e.InstanceLocation})
	default:
		_, isNumber := value.(json.Number) // a number out of range may not fit its Go type
		f := result.NewFieldError(result.OutOfRange, path, valueText(value), allowed.String())
		all = append(all, violation{fault: f, location: e.InstanceLocation, decodable: !isNumber})
	}
	return all
}

// schemaAt returns the part of the schema at a URL such as file#/$defs/zone-settings/properties/name.
func (s *schema) schemaAt(url string) *valueSchema {
	_, pointer, _ := strings.Cut(url, "#")
	current := s.root
	parts := strings.Split(strings.Trim(pointer, "/"), "/")
	for i := 0; i < len(parts) && current != nil; i++ {
		switch {
		case parts[i] == "items":
			current = current.Items
		case parts[i] == "properties" && i+1 < len(parts):
			i++
			current = current.Properties[parts[i]]
		case parts[i] == "$defs" && i+1 < len(parts):
			i++
			current = current.Defs[parts[i]]
		}
	}
	if current == nil {
		return &valueSchema{}
	}
	return current
}

// locate returns the value at a location in the document, which is a list of keys and indices, and the path to show for
// it in messages.
func locate(doc node, location []string) (string, node) {
	path := ""
	for _, part := range location {
		switch v := doc.(type) {
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return path, nil
			}
			path, doc = itemPath(path, i), v[i]
		case map[string]any:
			path, doc = fieldPath(path, part), v[part]
		}
	}
	return path, doc
}

// removeValue removes the value at a location from the document. An element of a list becomes null instead,
// so that the other elements keep their indices.
func removeValue(doc node, location []string) {
	if len(location) == 0 {
		return
	}
	last := len(location) - 1
	_, parent := locate(doc, location[:last])
	switch v := parent.(type) {
	case []any:
		if i, err := strconv.Atoi(location[last]); err == nil && i < len(v) {
			v[i] = nil
		}
	case map[string]any:
		delete(v, location[last])
	}
}

// valueText describes a value for an error message.
func valueText(v node) string {
	switch v := v.(type) {
	case nil:
		return "null"
	case map[string]any:
		return fmt.Sprintf("a mapping of %d fields", len(v))
	case []any:
		return fmt.Sprintf("a list of %d entries", len(v))
	default:
		return singleLine(fmt.Sprint(v))
	}
}
