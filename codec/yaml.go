package codec

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"pistachioshore.dev/result"
)

// maxTokens bounds the number of YAML tokens in a file: each value has at most a key, a colon, the value
// itself and a comma or hyphen.
const maxTokens = 4 * maxValues

// parseYAML parses one YAML document without anchors, aliases, tags and merge keys.
func parseYAML(raw []byte) (doc node, faults []*result.Error) {
	// The parser panics on some malformed texts, and a published file must not crash every VM.
	defer func() {
		if p := recover(); p != nil {
			doc, faults = nil, []*result.Error{result.New(result.Malformed, "the YAML text cannot be parsed")}
		}
	}()
	tokens := lexer.Tokenize(string(raw))
	if len(tokens) > maxTokens {
		return nil, []*result.Error{result.NewFieldError(result.ValueTooLarge, "", "", fmt.Sprintf("at most %d YAML tokens", maxTokens))}
	}
	if fault := checkTokens(tokens); fault != nil {
		return nil, []*result.Error{fault}
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, []*result.Error{yamlFault(err)}
	}
	if len(file.Docs) != 1 {
		return nil, []*result.Error{result.New(result.Malformed, fmt.Sprintf("the file holds %d YAML documents, not 1", len(file.Docs)))}
	}
	r := yamlReader{}
	doc = r.value("", file.Docs[0].Body)
	return doc, r.faults
}

func lineFault(t *token.Token, detail string) *result.Error {
	return result.New(result.Malformed, fmt.Sprintf("line %d, column %d: %s", t.Position.Line, t.Position.Column, detail))
}

func yamlFault(err error) *result.Error {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		return lineFault(located.GetToken(), singleLine(located.GetMessage()))
	}
	return result.New(result.Malformed, singleLine(err.Error()))
}

// yamlReader builds the document from parsed YAML and collects the faults of its keys.
type yamlReader struct {
	faults []*result.Error
}

func (r *yamlReader) value(path string, n ast.Node) node {
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return nil
	case *ast.MappingNode:
		return r.mapping(path, n.Values)
	case *ast.MappingValueNode:
		return r.mapping(path, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		return r.sequence(path, n.Values)
	case *ast.BoolNode:
		return n.Value
	case *ast.IntegerNode:
		return normalizeNumber(fmt.Sprint(n.Value))
	case *ast.FloatNode:
		return normalizeNumber(fmt.Sprint(n.Value))
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	default:
		return n.GetToken().Value // text for infinities and the like, which is a wrong type in every field
	}
}

func (r *yamlReader) mapping(path string, values []*ast.MappingValueNode) node {
	fields := map[string]any{}
	for _, v := range values {
		key := v.Key.GetToken().Value
		keyPath := fieldPath(path, key)
		if _, duplicate := fields[key]; duplicate {
			r.faults = append(r.faults, duplicateKeyFault(keyPath))
		}
		fields[key] = r.value(keyPath, v.Value)
	}
	return fields
}

func (r *yamlReader) sequence(path string, values []ast.Node) node {
	items := make([]any, 0, len(values))
	for i, v := range values {
		items = append(items, r.value(itemPath(path, i), v))
	}
	return items
}
