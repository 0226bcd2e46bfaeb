package upstream

// warmup is the progress of an upstream's warm-up since its cold start. Its limit of concurrent
// requests starts at the cold-start limit and doubles after enough answers.
type warmup struct {
	doublings int // of the cold-start limit
	answers   int // answers since the last doubling
}

// limit returns the number of requests that may run at a time.
func (w *warmup) limit(sp spec) int {
	limit := sp.coldLimit
	for i := 0; i < w.doublings && limit < sp.slots; i++ {
		limit *= 2
	}
	return min(limit, sp.slots)
}

// reset restarts the warm-up from the cold-start limit.
func (w *warmup) reset() {
	*w = warmup{}
}

// recordAnswer counts one answer and doubles the limit after enough of them.
func (w *warmup) recordAnswer(sp spec) {
	if w.limit(sp) >= sp.slots {
		return
	}
	w.answers++
	if w.answers >= sp.warmAfter {
		w.doublings++
		w.answers = 0
	}
}

// recordShed halves the limit, because an upstream that sheds load within its limit has less capacity
// than assumed.
func (w *warmup) recordShed() {
	w.doublings = max(0, w.doublings-1)
	w.answers = 0
}

// resume continues the warm-up of an earlier owner VM at the highest limit that does not exceed the
// given one.
func (w *warmup) resume(sp spec, limit, answers int) {
	*w = warmup{answers: max(0, answers)}
	for {
		next := warmup{doublings: w.doublings + 1}
		if next.limit(sp) > limit || next.limit(sp) == w.limit(sp) {
			return
		}
		w.doublings++
	}
}
