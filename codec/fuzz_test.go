package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"testing"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// checkFault checks that rejected input has a result code, that the code says that nothing was run (property P6),
// and that the message is one line.
func checkFault(t *testing.T, err error) {
	t.Helper()
	var fault *result.Error
	if !errors.As(err, &fault) {
		t.Fatalf("got %T %v, want *result.Error", err, err)
	}
	if got := fault.Code.Effect(); got != result.NotRun {
		t.Errorf("effect of %v: got %v, want %v", fault, got, result.NotRun)
	}
	if bytes.ContainsAny([]byte(fault.Error()), "\r\n") {
		t.Errorf("got %q, want one line", fault.Error())
	}
}

// FuzzParseConfig guards against files that crash the parser, and against results that have neither or both of a
// configuration and faults.
func FuzzParseConfig(f *testing.F) {
	for _, name := range []string{"armor.yaml", "hronec.json"} {
		raw, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte("a: {b: [1, ~, 'x']}\n? c\n: |\n  text\n\"\\n\": 0x1f\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		cfg, faults := ParseConfig(raw)
		if (cfg == nil) == (len(faults) == 0) || len(faults) > MaxFaults {
			t.Fatalf("got configuration %v with %d faults", cfg != nil, len(faults))
		}
		for _, fault := range faults {
			checkFault(t, fault)
		}
	})
}

// testFrame returns a frame with a time in nanoseconds, which the default CBOR mode would truncate.
func testFrame() *wire.Envelope {
	deadline := time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC)
	return &wire.Envelope{Kind: "sub-requests", SubRequests: &wire.SubRequests{Items: []wire.SubRequest{{ID: 1, Deadline: deadline}}}}
}

// FuzzDecodeFrame guards against frames that crash the decoder or that change when they are encoded again.
func FuzzDecodeFrame(f *testing.F) {
	c, err := New()
	if err != nil {
		f.Fatal(err)
	}
	vm := netip.MustParseAddrPort("[fd00::1]:7000")
	for _, e := range []*wire.Envelope{
		testFrame(),
		{Kind: "heartbeat", Heartbeat: &wire.Heartbeat{VM: vm, Heard: []wire.HeardPeer{{VM: vm, Age: time.Second}}}},
		{Kind: "config-value", ConfigValue: &wire.ConfigValue{Value: []byte("format: 1")}},
		{Kind: "order-result", OrderResult: &wire.OrderResult{Refusal: &wire.Refusal{Code: 301}}},
	} {
		b, err := c.EncodeFrame(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := c.DecodeFrame(b, 1<<20)
		if err != nil {
			checkFault(t, err)
			return
		}
		reencoded, err := c.EncodeFrame(e)
		if err != nil {
			t.Fatalf("encode an accepted frame: %v", err)
		}
		redecoded, err := c.DecodeFrame(reencoded, 2<<20)
		if err != nil {
			t.Fatalf("decode an encoded frame: %v", err)
		}
		if got, want := asJSON(t, redecoded), asJSON(t, e); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}

func asJSON(t *testing.T, v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestFrameFaults guards against bad frames with a wrong code and against deadlines that lose their
// nanoseconds.
func TestFrameFaults(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	b, err := c.EncodeFrame(testFrame())
	if err != nil {
		t.Fatal(err)
	}
	e, err := c.DecodeFrame(b, len(b))
	if err != nil || !e.SubRequests.Items[0].Deadline.Equal(testFrame().SubRequests.Items[0].Deadline) {
		t.Errorf("got %+v, %v, want the frame that was sent", e, err)
	}
	unknown := bytes.Replace(b, []byte("quantity"), []byte("quantitu"), 1)
	unknown = bytes.Replace(unknown, []byte("snapshot"), []byte("snapshop"), 1)
	for _, tc := range []struct {
		frame []byte
		limit int
		want  result.Code
	}{
		{b[:len(b)-1], len(b), result.TruncatedFrame},
		{nil, len(b), result.TruncatedFrame},
		{b, len(b) - 1, result.FrameTooLarge},
		{unknown, len(b), result.UnknownField},
		{append(bytes.Clone(b), 0), 2 * len(b), result.Malformed},
		{[]byte("\xa1dkind\x01"), 99, result.WrongType},
		{[]byte("\xa1dkindehello"), 99, result.MissingField},
		{[]byte("\xa1dkindehellp"), 99, result.OutOfRange},
	} {
		_, err := c.DecodeFrame(tc.frame, tc.limit)
		checkFault(t, err)
		if fault, ok := err.(*result.Error); !ok || fault.Code != tc.want {
			t.Errorf("frame %.20q: got %v, want %v", tc.frame, err, tc.want)
		}
	}
}

// fuzzJSON checks that a decoded value stays the same when it is encoded and decoded again.
func fuzzJSON[T any](f *testing.F, seeds ...string) {
	for _, s := range append(seeds, `{"Route":1}`, `{"x":1}`, `[]`, `{"route":"a"} {}`, `{"deadline":"`) {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := DecodeJSON[T](bytes.NewReader(b), 1<<16)
		if err != nil {
			checkFault(t, err)
			return
		}
		text := asJSON(t, v)
		redecoded, err := DecodeJSON[T](bytes.NewReader([]byte(text)), 1<<20)
		if err != nil || asJSON(t, redecoded) != text {
			t.Errorf("got %+v, %v, want %s", redecoded, err, text)
		}
	})
}

// FuzzDecodeQuery guards against query bodies that crash the decoder or lose fields.
func FuzzDecodeQuery(f *testing.F) {
	fuzzJSON[wire.QueryRequest](f, `{"route":"job-lookup","groups":["tournees"],"filter":{"kind":"job"},"limit":3}`)
}

// FuzzDecodeOrder guards against order bodies that crash the decoder or lose fields.
func FuzzDecodeOrder(f *testing.F) {
	fuzzJSON[wire.OrderRequest](f, `{"route":"pump-order","operation":"order","key":"k","permit":{"issuer":"10.0.0.1:7000","sequence":1,`+
		`"incarnation":2,"token":"t","expires":"2026-03-04T05:06:07.123456789Z"}}`)
}

// FuzzDecodeStatePage guards against a page of another VM that ends the process, that is decompressed beyond the limit, or
// that is rejected without a result code.
func FuzzDecodeStatePage(f *testing.F) {
	c, err := New()
	if err != nil {
		f.Fatal(err)
	}
	const limit = 4 << 10
	encode := func(p *wire.StatePage) []byte {
		b, err := c.EncodeStatePage(p)
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	feeds := []wire.StateFeed{{Prefix: "op/", Era: 3, Revision: 9, Cursor: 7, Full: true, Items: []wire.StateItem{{Key: "op/config", Value: []byte("{}"), Revision: 7}}}}
	page := encode(&wire.StatePage{Transfer: 5, Number: 1, Last: true, Feeds: feeds})
	f.Add(page)
	f.Add(page[:len(page)/2])
	f.Add([]byte{})
	f.Add([]byte{statePageFormat})
	f.Add([]byte(`{"feeds":[]}`))
	feeds[0].Items[0].Value = make([]byte, 1<<20)
	large := encode(&wire.StatePage{Feeds: feeds})
	f.Add(large)
	if _, err := c.DecodeStatePage(large, limit); !errors.As(err, new(*result.Error)) {
		f.Errorf("got %v for a page over the limit, want a result code", err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := c.DecodeStatePage(b, limit)
		if err != nil {
			checkFault(t, err)
			return
		}
		size := 0
		for _, feed := range p.Feeds {
			for _, it := range feed.Items {
				size += len(it.Key) + len(it.Value)
			}
		}
		if size > limit {
			t.Errorf("got items of %d bytes, want at most %d", size, limit)
		}
	})
}
