package balancer

import (
	"math"
	"time"
)

const (
	leastTime   = 100 * time.Microsecond // upper bound of the first bucket
	perDoubling = 8                      // buckets per doubling of the latency
	bucketCount = 160                    // covers latencies up to 96 s
	largestUnit = 1e12                   // weights are rescaled above this to keep floating-point precision
)

// histogram counts latencies in fixed logarithmic buckets, with sample weights that decay by half in
// each half-life. A quantile is reported as the upper bound of its bucket, which is at most 9.1% above
// the exact value. Latencies are clamped to the range from 0.1 ms to 96 s.
type histogram struct {
	counts  [bucketCount]float64
	total   float64
	unit    float64 // weight of a new sample; it grows over time, so that old weights need no update
	last    time.Time
	samples int
}

func (h *histogram) add(now time.Time, elapsed, halfLife time.Duration) {
	h.age(now, halfLife)
	h.counts[bucketOf(elapsed)] += h.unit
	h.total += h.unit
	h.samples++
}

// age decays the weight of all samples to now. It stops at keptWeight, so that a group with little
// traffic keeps its estimate.
func (h *histogram) age(now time.Time, halfLife time.Duration) {
	if h.samples == 0 {
		h.unit = 1
		h.last = now
		return
	}
	weight := h.total / h.unit
	factor := math.Exp2(-float64(max(now.Sub(h.last), 0)) / float64(halfLife))
	factor = max(factor, min(1, keptWeight/weight))
	h.unit /= factor
	if now.After(h.last) {
		h.last = now
	}
	if h.unit > largestUnit {
		h.rescale()
	}
}

// rescale divides all weights by the unit, which keeps their ratios.
func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.unit
	}
	h.total /= h.unit
	h.unit = 1
}

// quantile returns the upper bound of the bucket that holds quantile q.
func (h *histogram) quantile(q float64) time.Duration {
	rest := h.total * q
	for i, n := range h.counts {
		rest -= n
		if rest <= 0 {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func bucketOf(elapsed time.Duration) int {
	if elapsed <= leastTime {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(elapsed)/float64(leastTime)) * perDoubling))
	return min(i, bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(leastTime) * math.Exp2(float64(bucket)/perDoubling))
}
