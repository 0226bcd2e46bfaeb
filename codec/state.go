package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// statePageFormat is the first byte of an encoded state page. It tells a page from the JSON text of earlier versions, which
// begins with a brace.
const statePageFormat = 1

// EncodeStatePage returns the compressed CBOR encoding of a page of the platform state. Configurations repeat the same names
// many times, and the links of small VMs carry few MB a second.
func (c *Codec) EncodeStatePage(p *wire.StatePage) ([]byte, error) {
	b, err := c.enc.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode state page")
	}
	var out bytes.Buffer
	out.WriteByte(statePageFormat)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress state page")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress state page")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress state page")
	}
	return out.Bytes(), nil
}

// DecodeStatePage decodes a page of at most limit bytes before its compression.
func (c *Codec) DecodeStatePage(b []byte, limit int) (*wire.StatePage, error) {
	if len(b) == 0 || b[0] != statePageFormat {
		return nil, result.New(result.Malformed, "not a state page")
	}
	r := flate.NewReader(bytes.NewReader(b[1:]))
	defer func() { _ = r.Close() }()
	plain, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, result.New(result.Malformed, "the state page cannot be decompressed")
	}
	if len(plain) > limit {
		return nil, result.NewFieldError(result.FrameTooLarge, "", fmt.Sprintf("more than %d bytes", limit), fmt.Sprintf("at most %d bytes", limit))
	}
	var p wire.StatePage
	if err := c.dec.Unmarshal(plain, &p); err != nil {
		return nil, frameFault(err)
	}
	return &p, nil
}
