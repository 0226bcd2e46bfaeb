package audit

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"pistachioshore.dev/result"
)

// checkTimeout limits the search for a sequence of one permit's events that explains the answers.
const checkTimeout = 10 * time.Second

// permitHistory holds the orders and effects of one permit.
type permitHistory struct {
	permitID string
	orders   []Order
	effects  []Effect
}

// CheckPermits checks that each permit had at most one effect, that every receipt names that effect, and that some
// sequence of the attempts and effects explains every answer (P7).
func (c *Checker) CheckPermits() []Violation {
	var out violations
	for _, h := range c.permitHistories(&out) {
		if n := len(h.effects); n > 1 {
			out.add(AtMostOnce, h.permitID, "%d effects", n)
			continue
		}
		before := len(out)
		for _, o := range h.orders {
			h.checkReceipt(&out, o)
		}
		if len(out) == before {
			h.checkLinearizability(&out)
		}
	}
	return out
}

// permitHistories groups orders and effects by permit. An effect belongs to the permit whose attempt names its request
// ID, or else to the only permit for its key. Any other effect has no permit.
func (c *Checker) permitHistories(out *violations) []*permitHistory {
	byPermit := map[string]*permitHistory{}
	byRequest, byKey := map[string]*permitHistory{}, map[string][]*permitHistory{}
	for _, o := range c.history.Orders {
		h := byPermit[o.PermitID]
		if h == nil {
			h = &permitHistory{permitID: o.PermitID}
			byPermit[o.PermitID] = h
			byKey[o.Key] = append(byKey[o.Key], h)
		}
		h.orders = append(h.orders, o)
		if o.RequestID != "" {
			byRequest[o.RequestID] = h
		}
	}
	effectsByKey := map[string]int{}
	for _, u := range c.history.Upstreams {
		for _, e := range u.Effects {
			effectsByKey[e.Key]++
			h := byRequest[BaseRequestID(e.RequestID)]
			if h == nil && len(byKey[e.Key]) == 1 {
				h = byKey[e.Key][0]
			}
			if h != nil {
				h.effects = append(h.effects, e)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(effectsByKey)) {
		if n, permits := effectsByKey[key], len(byKey[key]); n > permits && permits != 1 {
			out.add(AtMostOnce, key, "%d effects for %d permits", n, permits)
		}
	}
	return slices.SortedFunc(maps.Values(byPermit), func(a, b *permitHistory) int {
		return cmp.Or(a.orders[0].SentAt.Compare(b.orders[0].SentAt), strings.Compare(a.permitID, b.permitID))
	})
}

// checkReceipt checks that an answer that reports "ran" names the effect of this order.
func (h *permitHistory) checkReceipt(out *violations, o Order) {
	if o.Code != result.Executed && o.Code != result.Replayed {
		return
	}
	if len(h.effects) == 0 {
		out.add(AtMostOnce, h.permitID, "the answer is %s, but there is no effect", o.Code)
		return
	}
	e := h.effects[0]
	if e.Receipt != o.Receipt || e.Key != o.Key || e.Operation != o.Operation || e.Quantity != o.Quantity {
		out.add(AtMostOnce, h.permitID, "receipt %q for %d of %s, the effect is %q for %d of %s",
			o.Receipt, o.Quantity, o.Key, e.Receipt, e.Quantity, e.Key)
	}
}

// checkLinearizability checks that "ran" is reported only after the effect and "not run" only before it.
func (h *permitHistory) checkLinearizability(out *violations) {
	switch porcupine.CheckOperationsTimeout(permitModel(), h.operations(), checkTimeout) {
	case porcupine.Illegal:
		out.add(AtMostOnce, h.permitID, "no sequence of its attempts and effects explains the answers")
	case porcupine.Unknown:
		out.add(Inconclusive, h.permitID, "no decision on the sequence of its attempts within %v", checkTimeout)
	}
}

// permitEvent is the input of an operation of the model.
type permitEvent struct {
	isEffect bool // an effect at the upstream; otherwise an answer to the caller
	reported result.Effect
}

func (h *permitHistory) operations() []porcupine.Operation {
	var ops []porcupine.Operation
	for _, e := range h.effects {
		at := e.At.UnixNano()
		ops = append(ops, porcupine.Operation{Input: permitEvent{isEffect: true}, Call: at, Return: at})
	}
	for i, o := range h.orders {
		if o.Code == 0 {
			continue // a lost connection is no evidence of either outcome
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i + 1, Input: permitEvent{reported: o.Code.Effect()}, Call: o.SentAt.UnixNano(), Return: o.ReturnedAt.UnixNano(),
		})
	}
	return ops
}

// permitModel returns the model of a permit that runs at most once. Its state is whether the permit has run.
func permitModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return false },
		Step: func(state, input, _ any) (bool, any) {
			ran, event := state.(bool), input.(permitEvent)
			if event.isEffect {
				return !ran, true
			}
			switch event.reported {
			case result.Ran:
				return ran, ran
			case result.NotRun:
				return !ran, ran
			default:
				return true, ran
			}
		},
	}
}
