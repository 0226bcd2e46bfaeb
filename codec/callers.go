package codec

import (
	"github.com/cockroachdb/errors"

	"pistachioshore.dev/permit"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// CodedError returns the coded error in err; an error without a code is internal.
func CodedError(err error) *result.Error {
	var fault *result.Error
	if errors.As(err, &fault) {
		return fault
	}
	return result.New(result.Internal, "the request failed inside the tier")
}

// ToWireRefusal converts an error for a caller or another VM.
func ToWireRefusal(requestID string, err error) *wire.Refusal {
	f := CodedError(err)
	return &wire.Refusal{
		RequestID: requestID, Code: int(f.Code), Result: f.Code.String(), Effect: f.Code.Effect().String(),
		Path: f.Path, Value: f.Value, Allowed: f.Allowed, Detail: f.Detail,
	}
}

// FromWireRefusal converts a received refusal.
func FromWireRefusal(w *wire.Refusal) *result.Error {
	return &result.Error{Code: result.Code(w.Code), Path: w.Path, Value: w.Value, Allowed: w.Allowed, Detail: w.Detail}
}

// ToWireOrderAnswer converts the outcome of an order.
func ToWireOrderAnswer(requestID string, code result.Code, receipt string) *wire.OrderAnswer {
	return &wire.OrderAnswer{
		RequestID: requestID, Code: int(code), Result: code.String(), Effect: code.Effect().String(), Receipt: receipt,
	}
}

// ToWirePermit converts a permit.
func ToWirePermit(p permit.Permit) wire.Permit {
	return wire.Permit{Issuer: p.Issuer, Incarnation: p.Incarnation, Sequence: p.Sequence, Token: p.Token, Expires: p.Expires}
}

// FromWirePermit converts a received permit.
func FromWirePermit(w wire.Permit) permit.Permit {
	return permit.Permit{Issuer: w.Issuer, Incarnation: w.Incarnation, Sequence: w.Sequence, Token: w.Token, Expires: w.Expires}
}
