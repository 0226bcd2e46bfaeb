package fleet

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is a VM that can be chosen as an owner by rendezvous hashing.
type candidate struct {
	address netip.AddrPort
	term    uint64
}

// weight returns the rendezvous weight of a VM for a key. It uses buf as scratch space and returns it
// for reuse.
func weight(buf []byte, vm netip.AddrPort, key []byte) (uint64, []byte) {
	buf = vm.AppendTo(buf[:0])
	buf = append(buf, 0)
	buf = append(buf, key...)
	return xxhash.Sum64(buf), buf
}

// highestWeight returns the candidate with the highest weight, or the zero value without candidates.
func highestWeight(vms []candidate, key []byte) candidate {
	var bestCandidate candidate
	var bestWeight uint64
	var buf []byte
	for _, c := range vms {
		var w uint64
		w, buf = weight(buf, c.address, key)
		if !bestCandidate.address.IsValid() || w > bestWeight || (w == bestWeight && c.address.Compare(bestCandidate.address) < 0) {
			bestCandidate, bestWeight = c, w
		}
	}
	return bestCandidate
}

// rank returns the VMs in descending order of their weight for the key.
func rank(vms []netip.AddrPort, key uint64) []netip.AddrPort {
	return rankBytes(vms, binary.BigEndian.AppendUint64(nil, key))
}

// rankBytes is rank for a key of any length.
func rankBytes(vms []netip.AddrPort, key []byte) []netip.AddrPort {
	weights := make(map[netip.AddrPort]uint64, len(vms))
	var buf []byte
	for _, vm := range vms {
		weights[vm], buf = weight(buf, vm, key)
	}
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b netip.AddrPort) int {
		switch {
		case weights[a] > weights[b]:
			return -1
		case weights[a] < weights[b]:
			return 1
		}
		return a.Compare(b)
	})
	return ranked
}
