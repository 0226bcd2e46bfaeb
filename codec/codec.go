// Package codec converts between wire messages and the types that decisions use.
package codec

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Codec encodes and decodes bodies and frames with the modes and limits of this system.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec.
func New() (*Codec, error) {
	// The default time mode keeps whole seconds only, which would shift deadlines.
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "CBOR encoding mode")
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   16,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "CBOR decoding mode")
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// EncodeFrame returns the CBOR form of a peer message.
func (c *Codec) EncodeFrame(e *wire.Envelope) ([]byte, error) {
	b, err := c.enc.Marshal(e)
	return b, errors.Wrap(err, "encode frame")
}

// DecodeFrame reads a peer message of at most limit bytes.
func (c *Codec) DecodeFrame(b []byte, limit int) (*wire.Envelope, error) {
	if len(b) > limit {
		return nil, result.New(result.FrameTooLarge, "frame exceeds the limit")
	}
	var e wire.Envelope
	err := c.dec.Unmarshal(b, &e)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return nil, result.New(result.TruncatedFrame, err.Error())
	}
	var unknown *cbor.UnknownFieldError
	if errors.As(err, &unknown) {
		return nil, result.New(result.UnknownField, err.Error())
	}
	if err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	return &e, nil
}

// DecodeJSON reads one JSON value of at most limit bytes; unknown fields and trailing data are faults.
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

func jsonFault(err error) *result.Error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return result.Field(result.WrongType, wrong.Field, wrong.Value, wrong.Type.String())
	}
	const prefix = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), prefix); ok {
		return result.Field(result.UnknownField, strings.Trim(name, `"`), "", "")
	}
	return result.New(result.Malformed, err.Error())
}

// ParseDuration reads a positive duration such as 250ms; path names the field in the fault.
func ParseDuration(path, value string, least, most time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < least || d > most {
		return 0, result.Field(result.OutOfRange, path, value, least.String()+" to "+most.String())
	}
	return d, nil
}
