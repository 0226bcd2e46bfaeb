package codec

import (
	"github.com/goccy/go-yaml/token"

	"pistachioshore.dev/result"
)

// Bounds on the shape of a file, far above what the format needs: it nests 7 levels deep, and no
// mapping has more than 13 fields. The parser recurses, and a stack overflow cannot be recovered
// from; it also takes quadratic time in the fields of one mapping outside braces.
const (
	maxFlowNesting    = 32
	maxEntriesOnALine = 16
	maxFields         = 64
	maxEmpty          = 64 // fields and list entries without a value, each of which costs the parser linear time
)

// checkTokens refuses what the configuration format leaves out of YAML, and shapes that would take
// the parser too long. Aliases would let a small file grow without bound when it is expanded.
func checkTokens(tokens token.Tokens) *result.Error {
	c := shapeCheck{fields: map[int]int{}}
	for _, t := range tokens {
		if detail := c.next(t); detail != "" {
			return lineFault(t, detail)
		}
	}
	return nil
}

// opened is an open brace or bracket.
type opened struct {
	mapping bool
	value   bool // the field under way has its colon
}

// shapeCheck follows the tokens of a file.
type shapeCheck struct {
	last    *token.Token // last token but comments
	open    []opened     // open braces and brackets
	entries int          // list entries that began on this line
	key     int          // column of the last key
	empty   int          // fields and list entries without a value
	fields  map[int]int  // fields of the mappings under way outside braces, by column
}

// next takes one token; it returns what is wrong with it, if anything.
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

// field counts a field after its key.
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

// nest follows braces and brackets.
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

// follows reports whether t comes where the value of last would have to be.
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

// endInner forgets the mappings further to the right, which have ended.
func (c *shapeCheck) endInner(column int) {
	for inner := range c.fields {
		if inner > column {
			delete(c.fields, inner)
		}
	}
}
