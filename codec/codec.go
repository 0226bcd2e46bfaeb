// Package codec encodes and decodes wire messages and converts between them and the types of the other packages, which
// do not depend on the encoding.
package codec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Codec encodes and decodes messages between VMs in CBOR. Each message is one frame.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a Codec.
func New() (*Codec, error) {
	// The default time mode truncates to whole seconds, which would shift deadlines.
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR encoding mode")
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   16,
		// Header values, targets and signatures come from clients and upstreams and may hold any bytes. A frame that is
		// rejected ends the connection for all requests that use it.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR decoding mode")
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// EncodeFrame returns the CBOR encoding of a message between VMs.
func (c *Codec) EncodeFrame(e *wire.Envelope) ([]byte, error) {
	b, err := c.enc.Marshal(e)
	return b, errors.Wrap(err, "encode frame")
}

// DecodeFrame decodes a message between VMs of at most limit bytes. Of the optional fields of the envelope, only the
// one that its Kind names is set.
func (c *Codec) DecodeFrame(b []byte, limit int) (*wire.Envelope, error) {
	if len(b) > limit {
		return nil, result.NewFieldError(result.FrameTooLarge, "", fmt.Sprintf("%d bytes", len(b)), fmt.Sprintf("at most %d bytes", limit))
	}
	var e wire.Envelope
	if err := c.dec.Unmarshal(b, &e); err != nil {
		return nil, frameFault(err)
	}
	if fault := checkEnvelope(&e); fault != nil {
		return nil, fault
	}
	return &e, nil
}

// frameFault converts a CBOR decoding error to one with a result code.
func frameFault(err error) *result.Error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return result.New(result.TruncatedFrame, "the frame ends within a value")
	}
	var unknownField *cbor.UnknownFieldError
	if errors.As(err, &unknownField) {
		return result.New(result.UnknownField, singleLine(err.Error()))
	}
	var wrongType *cbor.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return result.New(result.WrongType, singleLine(err.Error()))
	}
	return result.New(result.Malformed, singleLine(err.Error()))
}

// DecodeJSON decodes one JSON value of at most limit bytes; unknown fields and trailing data are errors.
func DecodeJSON[T any](r io.Reader, limit int) (T, error) {
	var v T
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return v, result.New(result.Malformed, "the body could not be read")
	}
	if len(body) > limit {
		return v, result.New(result.BodyTooLarge, "the body exceeds the limit")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, jsonFault(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, result.New(result.Malformed, "data after the JSON value")
	}
	return v, nil
}

// jsonFault converts a JSON decoding error to one with a result code.
func jsonFault(err error) *result.Error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return result.NewFieldError(result.WrongType, singleLine(wrongType.Field), singleLine(wrongType.Value), describeKind(wrongType.Type.Kind()))
	}
	const prefix = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), prefix); ok {
		return result.NewFieldError(result.UnknownField, fieldPath("", strings.Trim(name, `"`)), "", "")
	}
	return result.New(result.Malformed, singleLine(err.Error()))
}

// describeKind describes the JSON values that can be decoded into a Go type of that kind.
func describeKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map, reflect.Pointer:
		return "a mapping"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of 0 or more"
	default:
		return "a whole number"
	}
}

// ParseDuration parses a duration such as 250ms and checks its range; path names the field in the error.
func ParseDuration(path, value string, shortest, longest time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < shortest || d > longest {
		return 0, result.NewFieldError(result.OutOfRange, path, singleLine(value), shortest.String()+" to "+longest.String())
	}
	return d, nil
}
