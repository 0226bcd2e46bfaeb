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
	maxEntriesPerLine = 16
	maxMappingFields  = 64
	maxEmptyValues    = 64 // fields and list entries without a value; the parser takes linear time for each
)

// checkTokens rejects YAML features that the configuration format does not support, and structures that
// would take the parser too long. Aliases are not supported because expanding them can make a small file
// grow without bound.
func checkTokens(tokens token.Tokens) *result.Error {
	c := tokenChecker{fieldCounts: map[int]int{}}
	for _, t := range tokens {
		if detail := c.check(t); detail != "" {
			return lineFault(t, detail)
		}
	}
	return nil
}

// flowCollection is a flow mapping or sequence, in braces or brackets, whose end has not been read.
type flowCollection struct {
	mapping  bool
	hasColon bool // the colon of the current field has been read
}

// tokenChecker tracks the structure of a file token by token.
type tokenChecker struct {
	previous    *token.Token     // last token that is no comment
	openFlow    []flowCollection // outermost first
	lineEntries int              // list entries that start on the current line
	keyColumn   int              // column of the last key of a block mapping
	emptyValues int              // fields and list entries without a value
	fieldCounts map[int]int      // number of fields of each open block mapping, by column
}

// check processes the next token and returns what is wrong with it, or an empty string.
func (c *tokenChecker) check(t *token.Token) string {
	if t.Type == token.CommentType {
		return ""
	}
	previous := c.previous
	c.previous = t
	if previous == nil || previous.Position.Line != t.Position.Line {
		c.lineEntries = 0
	}
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
		return "anchors, aliases, tags, merge keys, complex keys and directives are not supported"
	case token.DocumentHeaderType:
		if previous != nil {
			return "the file holds more than one YAML document"
		}
	case token.SequenceEntryType:
		c.lineEntries++
		c.endDeeperMappings(t.Position.Column)
	case token.MappingValueType:
		c.countField(previous)
	}
	if c.isValueMissing(previous, t) {
		c.emptyValues++
	}
	c.trackNesting(t)
	return c.exceededLimit()
}

// countField counts a field when its colon is read; key is the token before the colon.
func (c *tokenChecker) countField(key *token.Token) {
	if len(c.openFlow) > 0 {
		c.openFlow[len(c.openFlow)-1].hasColon = true
		return
	}
	if key != nil {
		c.keyColumn = key.Position.Column
		c.endDeeperMappings(c.keyColumn)
		c.fieldCounts[c.keyColumn]++
	}
}

// trackNesting keeps the list of open flow collections up to date.
func (c *tokenChecker) trackNesting(t *token.Token) {
	innermost := len(c.openFlow) - 1
	switch t.Type {
	case token.MappingStartType:
		c.openFlow = append(c.openFlow, flowCollection{mapping: true})
	case token.SequenceStartType:
		c.openFlow = append(c.openFlow, flowCollection{})
	case token.MappingEndType, token.SequenceEndType:
		c.openFlow = c.openFlow[:max(innermost, 0)]
	case token.CollectEntryType:
		if innermost >= 0 {
			c.openFlow[innermost].hasColon = false
		}
	}
}

// isValueMissing reports whether previous needs a value and t does not start one.
func (c *tokenChecker) isValueMissing(previous, t *token.Token) bool {
	if previous == nil {
		return false
	}
	if len(c.openFlow) > 0 {
		endsEntry := t.Type == token.CollectEntryType || t.Type == token.MappingEndType || t.Type == token.SequenceEndType
		innermost := c.openFlow[len(c.openFlow)-1]
		return endsEntry && (previous.Type == token.MappingValueType || innermost.mapping && !innermost.hasColon)
	}
	startsEntry := t.Type == token.SequenceEntryType
	switch previous.Type {
	case token.SequenceEntryType:
		return t.Position.Column <= previous.Position.Column
	case token.MappingValueType:
		return t.Position.Column < c.keyColumn || t.Position.Column == c.keyColumn && !startsEntry
	default:
		return false
	}
}

func (c *tokenChecker) exceededLimit() string {
	switch {
	case len(c.openFlow) > maxFlowNesting || c.lineEntries > maxEntriesPerLine:
		return "the values nest too deeply"
	case c.fieldCounts[c.keyColumn] > maxMappingFields:
		return "a mapping has too many fields"
	case c.emptyValues > maxEmptyValues:
		return "too many values are empty"
	default:
		return ""
	}
}

// endDeeperMappings forgets the mappings to the right of column, which have ended.
func (c *tokenChecker) endDeeperMappings(column int) {
	for mappingColumn := range c.fieldCounts {
		if mappingColumn > column {
			delete(c.fieldCounts, mappingColumn)
		}
	}
}
