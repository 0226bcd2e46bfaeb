package forward

import (
	"bytes"
	"container/heap"
	"slices"
)

// recordBytes is the size of a record. A shorter remainder at the end of a body is ignored.
const recordBytes = 16

// topRecords returns the n greatest records of the bodies in descending byte order.
func topRecords(bodies [][]byte, n int) []byte {
	if n <= 0 {
		return nil
	}
	top := make(recordHeap, 0, n)
	for _, b := range bodies {
		for ; len(b) >= recordBytes; b = b[recordBytes:] {
			top = top.offer(b[:recordBytes], n)
		}
	}
	slices.SortFunc(top, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(top)*recordBytes)
	for _, r := range top {
		out = append(out, r...)
	}
	return out
}

// recordHeap is a min-heap of records.
type recordHeap [][]byte

// offer adds the record if it is among the n greatest so far.
func (h recordHeap) offer(r []byte, n int) recordHeap {
	if len(h) < n {
		heap.Push(&h, r)
		return h
	}
	if bytes.Compare(r, h[0]) > 0 {
		h[0] = r
		heap.Fix(&h, 0)
	}
	return h
}

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *recordHeap) Push(x any)        { *h = append(*h, x.([]byte)) }

func (h *recordHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
