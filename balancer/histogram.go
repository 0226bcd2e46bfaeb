package balancer

import (
	"math"
	"time"
)

const (
	minLatency         = 100 * time.Microsecond // upper bound of the first bucket
	bucketsPerDoubling = 8                      // buckets per doubling of the latency
	bucketCount        = 160                    // covers latencies up to 96 s
	maxSampleWeight    = 1e12                   // weights are rescaled above this to keep floating-point precision
)

// histogram counts latencies in fixed logarithmic buckets, with sample weights that decay by half in
// each half-life. A quantile is reported as the upper bound of its bucket, which is at most 9.1% above
// the exact value. Latencies are clamped to the range from 0.1 ms to 96 s.
type histogram struct {
	counts       [bucketCount]float64
	total        float64
	sampleWeight float64 // weight of a new sample; it grows over time, so that old weights need no update
	lastSample   time.Time
	samples      int
}

func (h *histogram) add(now time.Time, elapsed, halfLife time.Duration) {
	h.decay(now, halfLife)
	h.counts[bucketIndex(elapsed)] += h.sampleWeight
	h.total += h.sampleWeight
	h.samples++
}

// decay reduces the weight of all samples by their age at now. It stops at minDecayedWeight, so that a
// group with little traffic keeps its estimate.
func (h *histogram) decay(now time.Time, halfLife time.Duration) {
	if h.samples == 0 {
		h.sampleWeight = 1
		h.lastSample = now
		return
	}
	totalWeight := h.total / h.sampleWeight
	factor := math.Exp2(-float64(max(now.Sub(h.lastSample), 0)) / float64(halfLife))
	factor = max(factor, min(1, minDecayedWeight/totalWeight))
	h.sampleWeight /= factor
	if now.After(h.lastSample) {
		h.lastSample = now
	}
	if h.sampleWeight > maxSampleWeight {
		h.rescale()
	}
}

// rescale divides all weights by the weight of a new sample, which keeps their ratios.
func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.sampleWeight
	}
	h.total /= h.sampleWeight
	h.sampleWeight = 1
}

// quantile returns the upper bound of the bucket that holds quantile q.
func (h *histogram) quantile(q float64) time.Duration {
	remaining := h.total * q
	for i, n := range h.counts {
		remaining -= n
		if remaining <= 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

func bucketIndex(elapsed time.Duration) int {
	if elapsed <= minLatency {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(elapsed)/float64(minLatency)) * bucketsPerDoubling))
	return min(i, bucketCount-1)
}

func bucketUpperBound(bucket int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}
