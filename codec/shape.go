package codec

import (
	"github.com/goccy/go-yaml/token"

	"pistachioshore.dev/result"
)

// Limits on the structure of a file, far above what the format needs: it nests 7 levels deep, and no
// mapping has more than 13 fields. The parser recurses, and a Go program cannot recover from a stack
// overflow; it also takes quadratic time in the number of fields of a block mapping.
const (
	maxFlowNesting    = 32
	maxEntriesOnALine = 16
	maxFields         = 64
	maxEmpty          = 64 // fields and list entries without a value; the parser takes linear time for each
)

// checkTokens rejects YAML features that the configuration format does not support, and structures that
// would take the parser too long. Aliases are not supported because expanding them can make a small file
// grow without bound.
func checkTokens(tokens token.Tokens) *result.Error {
	c := shapeCheck{fields: map[int]int{}}
	for _, t := range tokens {
		if detail := c.next(t); detail != "" {
			return lineFault(t, detail)
		}
	}
	return nil
}

// flowCollection is a flow mapping or sequence, in braces or brackets, whose end has not been read.
type opened struct {
	mapping bool
	value   bool // the colon of the current field has been read
}

// tokenChecker tracks the structure of a file token by token.
type shapeCheck struct {
	last    *token.Token // last token that is no comment
	open    []opened     // outermost first
	entries int          // list entries that start on the current line
	key     int          // column of the last key of a block mapping
	empty   int          // fields and list entries without a value
	fields  map[int]int  // number of fields of each open block mapping, by column
}

// check processes the next token and returns what is wrong with it, or an empty string.
func (c *shapeCheck) next(t *token.Token) string {
	if t.Type == token.CommentType {
		return ""
	}
	last := c.last
	c.last = t
	if last == nil || last.Position.Line != t.Position.Line {
		c.entries = 0
	}
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
		return "anchors, aliases, tags, merge keys, complex keys and directives are not supported"
	case token.DocumentHeaderType:
		if last != nil {
			return "the file holds more than one YAML document"
		}
	case token.SequenceEntryType:
		c.entries++
		c.endInner(t.Position.Column)
	case token.MappingValueType:
		c.field(last)
	}
	if c.follows(last, t) {
		c.empty++
	}
	c.nest(t)
	return c.excess()
}

// countField counts a field when its colon is read; key is the token before the colon.
func (c *shapeCheck) field(key *token.Token) {
	if len(c.open) > 0 {
		c.open[len(c.open)-1].value = true
		return
	}
	if key != nil {
		c.key = key.Position.Column
		c.endInner(c.key)
		c.fields[c.key]++
	}
}

// trackNesting keeps the list of open flow collections up to date.
func (c *shapeCheck) nest(t *token.Token) {
	innermost := len(c.open) - 1
	switch t.Type {
	case token.MappingStartType:
		c.open = append(c.open, opened{mapping: true})
	case token.SequenceStartType:
		c.open = append(c.open, opened{})
	case token.MappingEndType, token.SequenceEndType:
		c.open = c.open[:max(innermost, 0)]
	case token.CollectEntryType:
		if innermost >= 0 {
			c.open[innermost].value = false
		}
	}
}

// isValueMissing reports whether last needs a value and t is not the start of one.
func (c *shapeCheck) follows(last, t *token.Token) bool {
	if last == nil {
		return false
	}
	if len(c.open) > 0 {
		ends := t.Type == token.CollectEntryType || t.Type == token.MappingEndType || t.Type == token.SequenceEndType
		in := c.open[len(c.open)-1]
		return ends && (last.Type == token.MappingValueType || in.mapping && !in.value)
	}
	entry := t.Type == token.SequenceEntryType
	switch last.Type {
	case token.SequenceEntryType:
		return t.Position.Column <= last.Position.Column
	case token.MappingValueType:
		return t.Position.Column < c.key || t.Position.Column == c.key && !entry
	default:
		return false
	}
}

func (c *shapeCheck) excess() string {
	switch {
	case len(c.open) > maxFlowNesting || c.entries > maxEntriesOnALine:
		return "the values nest too deeply"
	case c.fields[c.key] > maxFields:
		return "a mapping has too many fields"
	case c.empty > maxEmpty:
		return "too many values are empty"
	default:
		return ""
	}
}

// endDeeperMappings forgets the mappings to the right of column, which have ended.
func (c *shapeCheck) endInner(column int) {
	for inner := range c.fields {
		if inner > column {
			delete(c.fields, inner)
		}
	}
}
