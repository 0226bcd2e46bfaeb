package codec

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"pistachioshore.dev/result"
)

// MaxFaults is the largest number of faults that ParseConfig returns.
const MaxFaults = 50

// maxQuotedChars is the length in characters at which a text quoted from a file is truncated.
const maxQuotedChars = 80

// singleLine prepares a text from a file for a one-line message: it replaces line breaks and other
// unprintable characters by spaces and truncates the text.
func singleLine(text string) string {
	printable := strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return ' '
	}, text[:min(len(text), 4*maxQuotedChars)])
	if runes := []rune(printable); len(runes) > maxQuotedChars {
		return string(runes[:maxQuotedChars]) + "..."
	}
	return printable
}

// fieldPath returns the path of a field; a name with characters that no field name of the format has is quoted.
func fieldPath(parent, name string) string {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			name = strconv.Quote(singleLine(name))
			break
		}
	}
	if parent == "" {
		return singleLine(name)
	}
	return parent + "." + singleLine(name)
}

// itemPath returns the path of a list element.
func itemPath(parent string, i int) string {
	return parent + "[" + strconv.Itoa(i) + "]"
}

// faultList collects the faults of one document.
type faultList struct {
	faults []*result.Error
}

func (l *faultList) add(faults ...*result.Error) {
	l.faults = append(l.faults, faults...)
}

// addDerived adds the faults found by later checks. It skips a fault if its field, or an enclosing one, has
// a fault already.
func (l *faultList) addDerived(faults ...*result.Error) {
	faultyPaths := map[string]bool{}
	for _, f := range l.faults {
		faultyPaths[f.Path] = true
	}
	for _, f := range faults {
		if !hasFaultAt(faultyPaths, f.Path) {
			l.add(f)
		}
	}
}

// hasFaultAt reports whether path, or an enclosing one, is among the faulty paths.
func hasFaultAt(faultyPaths map[string]bool, path string) bool {
	for path != "" {
		if faultyPaths[path] {
			return true
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return false
}

// sorted sorts the faults by path, with list elements in their order, and returns the first MaxFaults.
func (l *faultList) sorted() []*result.Error {
	slices.SortFunc(l.faults, compareFaults)
	return l.faults[:min(len(l.faults), MaxFaults)]
}

func compareFaults(a, b *result.Error) int {
	return cmp.Or(
		comparePaths(a.Path, b.Path),
		cmp.Compare(a.Code, b.Code),
		cmp.Compare(a.Value, b.Value),
		cmp.Compare(a.Allowed, b.Allowed),
		cmp.Compare(a.Detail, b.Detail),
	)
}

// comparePaths compares paths component by component, with list indices as numbers.
func comparePaths(a, b string) int {
	pa, pb := splitPath(a), splitPath(b)
	for i := range min(len(pa), len(pb)) {
		na, errA := strconv.Atoi(pa[i])
		nb, errB := strconv.Atoi(pb[i])
		if errA == nil && errB == nil && na != nb {
			return cmp.Compare(na, nb)
		}
		if c := cmp.Compare(pa[i], pb[i]); c != 0 {
			return c
		}
	}
	return cmp.Compare(len(pa), len(pb))
}

func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}
