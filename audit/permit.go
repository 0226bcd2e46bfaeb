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

// decisionTime bounds the search for an order of one permit's events.
const decisionTime = 10 * time.Second

// permitHistory is everything that belongs to one permit.
type permitHistory struct {
	permit  string
	orders  []Order
	effects []Effect
}

// CheckPermits checks that each permit had at most one effect, that receipts name it, and that some order of
// the tries and effects explains every answer (P7).
func (a *Checker) CheckPermits() []Violation {
	var out violations
	for _, h := range a.permits(&out) {
		if n := len(h.effects); n > 1 {
			out.add(AtMostOnce, h.permit, "%d effects", n)
			continue
		}
		checked := len(out)
		for _, o := range h.orders {
			h.checkReceipt(&out, o)
		}
		if len(out) == checked {
			h.checkOrder(&out)
		}
	}
	return out
}

// permits groups orders and effects. An effect belongs to the permit whose try names its request id, or
// else to the only permit for its key; a further effect of a key has no permit.
func (a *Checker) permits(out *violations) []*permitHistory {
	byPermit := map[string]*permitHistory{}
	byRequest, byKey := map[string]*permitHistory{}, map[string][]*permitHistory{}
	for _, o := range a.history.Orders {
		h := byPermit[o.PermitID]
		if h == nil {
			h = &permitHistory{permit: o.PermitID}
			byPermit[o.PermitID] = h
			byKey[o.Key] = append(byKey[o.Key], h)
		}
		h.orders = append(h.orders, o)
		if o.RequestID != "" {
			byRequest[o.RequestID] = h
		}
	}
	byKeyEffects := map[string]int{}
	for _, u := range a.history.Upstreams {
		for _, e := range u.Effects {
			byKeyEffects[e.Key]++
			h := byRequest[BaseRequestID(e.RequestID)]
			if h == nil && len(byKey[e.Key]) == 1 {
				h = byKey[e.Key][0]
			}
			if h != nil {
				h.effects = append(h.effects, e)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byKeyEffects)) {
		if n, permits := byKeyEffects[key], len(byKey[key]); n > permits && permits != 1 {
			out.add(AtMostOnce, key, "%d effects of %d permits", n, permits)
		}
	}
	return slices.SortedFunc(maps.Values(byPermit), func(a, b *permitHistory) int {
		return cmp.Or(a.orders[0].SentAt.Compare(b.orders[0].SentAt), strings.Compare(a.permit, b.permit))
	})
}

// checkReceipt checks that an answer that says "ran" names the effect of exactly this order.
func (h *permitHistory) checkReceipt(out *violations, o Order) {
	if o.Code != result.Executed && o.Code != result.Replayed {
		return
	}
	if len(h.effects) == 0 {
		out.add(AtMostOnce, h.permit, "the answer says %s, but there is no effect", o.Code)
		return
	}
	e := h.effects[0]
	if e.Receipt != o.Receipt || e.Key != o.Key || e.Operation != o.Operation || e.Quantity != o.Quantity {
		out.add(AtMostOnce, h.permit, "receipt %q for %d of %s, the effect is %q for %d of %s",
			o.Receipt, o.Quantity, o.Key, e.Receipt, e.Quantity, e.Key)
	}
}

// checkOrder checks that "ran" comes after the effect and "not run" before it.
func (h *permitHistory) checkOrder(out *violations) {
	switch porcupine.CheckOperationsTimeout(permitModel(), h.operations(), decisionTime) {
	case porcupine.Illegal:
		out.add(AtMostOnce, h.permit, "no order of its tries and effects explains the answers")
	case porcupine.Unknown:
		out.add(IncompleteCounts, h.permit, "the order of its tries was not decided in %v", decisionTime)
	}
}

// permitEvent is the input of one operation of the model.
type permitEvent struct {
	effect bool // the upstream's effect; otherwise an answer
	says   result.Effect
}

func (h *permitHistory) operations() []porcupine.Operation {
	var ops []porcupine.Operation
	for _, e := range h.effects {
		at := e.At.UnixNano()
		ops = append(ops, porcupine.Operation{Input: permitEvent{effect: true}, Call: at, Return: at})
	}
	for i, o := range h.orders {
		if o.Code == 0 {
			continue // a broken connection says nothing
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i + 1, Input: permitEvent{says: o.Code.Effect()}, Call: o.SentAt.UnixNano(), Return: o.ReturnedAt.UnixNano(),
		})
	}
	return ops
}

// permitModel is a permit that runs at most once; its state says whether it has run.
func permitModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return false },
		Step: func(state, input, _ any) (bool, any) {
			ran, event := state.(bool), input.(permitEvent)
			if event.effect {
				return !ran, true
			}
			switch event.says {
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
