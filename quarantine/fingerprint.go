package quarantine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the xxhash64 of the content of a request: its operation, the names that it addresses, its other
// fields, and the maximum number of records in the answer, zero if there is none. The order of groups does not matter.
//
// Each list is prefixed with its length and each string with its size, so that different requests never have the same
// encoding.
func Fingerprint(operation string, groups, fields []string, limit int) uint64 {
	sorted := slices.Sorted(slices.Values(groups))
	b := appendText(nil, operation)
	b = appendList(b, sorted)
	b = appendList(b, fields)
	b = binary.AppendVarint(b, int64(limit))
	return xxhash.Sum64(b)
}

func appendList(b []byte, list []string) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = appendText(b, s)
	}
	return b
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}
