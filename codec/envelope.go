package codec

import (
	"strings"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// payload is an optional field of an envelope.
type payload struct {
	kind string
	set  bool
}

func payloads(e *wire.Envelope) []payload {
	return []payload{
		{"canary-report", e.CanaryReport != nil},
		{"canary-request", e.CanaryRequest != nil},
		{"canary-verdict", e.CanaryVerdict != nil},
		{"cancel", e.Cancel != nil},
		{"config-request", e.ConfigRequest != nil},
		{"config-value", e.ConfigValue != nil},
		{"fragment", e.Fragment != nil},
		{"freshness-answer", e.FreshnessAnswer != nil},
		{"freshness-question", e.FreshnessQuestion != nil},
		{"handover", e.Handover != nil},
		{"heartbeat", e.Heartbeat != nil},
		{"hello", e.Hello != nil},
		{"order-forward", e.OrderForward != nil},
		{"order-result", e.OrderResult != nil},
		{"parts", e.Parts != nil},
		{"query-accept", e.QueryAccept != nil},
		{"query-cancel", e.QueryCancel != nil},
		{"query-confirm", e.QueryConfirm != nil},
		{"query-forward", e.QueryForward != nil},
		{"query-result", e.QueryResult != nil},
		{"quota-levels", e.QuotaLevels != nil},
		{"sub-requests", e.SubRequests != nil},
		{"upstream-draining", e.UpstreamDraining != nil},
		{"usage-report", e.UsageReport != nil},
	}
}

// checkEnvelope checks that the field named by the kind, and no other, is set, so that a receiver can rely
// on the kind.
func checkEnvelope(e *wire.Envelope) *result.Error {
	kindKnown := false
	var kinds []string
	for _, p := range payloads(e) {
		kinds = append(kinds, p.kind)
		switch {
		case p.kind == e.Kind && !p.set:
			return result.NewFieldError(result.MissingField, p.kind, "", "the field that kind names")
		case p.kind == e.Kind:
			kindKnown = true
		case p.set:
			return result.NewFieldError(result.UnknownField, p.kind, "", "only the field that kind names")
		}
	}
	if !kindKnown {
		return result.NewFieldError(result.OutOfRange, "kind", singleLine(e.Kind), strings.Join(kinds, ", "))
	}
	if r := e.OrderResult; r != nil && (r.Answer == nil) == (r.Refusal == nil) {
		return result.NewFieldError(result.MissingField, "order-result.answer", "", "either answer or refusal")
	}
	return nil
}
