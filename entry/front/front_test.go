package front

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/permit"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// scriptedTier is a fake tier that responds as configured and records the last request it received.
type scriptedTier struct {
	err          error
	panics       bool
	ready        bool
	maxBodyBytes int
	lastRequest  string
}

func (s *scriptedTier) record(format string, args ...any) error {
	s.lastRequest = fmt.Sprintf(format, args...)
	if s.panics {
		panic("scripted")
	}
	return s.err
}

func (s *scriptedTier) Query(_ context.Context, q entry.Query) (entry.Answer, error) {
	err := s.record("query route=%s class=%s deadline=%s limit=%d contains=%s", q.Route, q.Class, q.Deadline, q.Limit, q.Filter.Contains)
	return entry.Answer{Answer: gather.Answer[entry.Matches]{Code: result.Complete, Snapshot: 4, Revision: 7, Covered: []string{"s"}}}, err
}

func (s *scriptedTier) IssuePermit(context.Context) (permit.Permit, error) {
	return permit.Permit{Issuer: netip.MustParseAddrPort("10.0.0.1:7000"), Token: "t"}, s.record("permit")
}

func (s *scriptedTier) ExecuteOrder(_ context.Context, o entry.Order) (entry.Outcome, error) {
	err := s.record("order route=%s operation=%s key=%s deadline=%s issuer=%s", o.Route, o.Operation, o.Key, o.Deadline, o.Permit.Issuer)
	return entry.Outcome{Code: result.Executed, Receipt: "r"}, err
}

func (s *scriptedTier) Status() wire.Status { return wire.Status{} }
func (s *scriptedTier) Ready() bool         { return s.ready }
func (s *scriptedTier) MaxBodyBytes() int   { return s.maxBodyBytes }

// truncatedBody fails with io.ErrUnexpectedEOF at its end, like the body of a caller that disconnects.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestBadInput guards against invalid requests that reach the tier or get the wrong refusal. Each
// must return its result code, the matching HTTP status and one line that names the field and its
// allowed range.
func TestBadInput(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
		tier := &scriptedTier{maxBodyBytes: 256, ready: !d.HasArg("not-ready"), panics: d.HasArg("panic")}
		if d.HasArg("fail") {
			var n string
			d.ScanArgs(t, "fail", &n)
			code, _ := strconv.Atoi(n)
			tier.err = result.New(result.Code(code), "scripted")
		}
		var path string
		d.ScanArgs(t, "path", &path)
		body := io.Reader(strings.NewReader(d.Input))
		if d.HasArg("pad") {
			body = strings.NewReader(strings.Repeat(" ", tier.maxBodyBytes+1-len(d.Input)) + d.Input)
		}
		if d.HasArg("cut") {
			body = truncatedBody{body}
		}
		w := httptest.NewRecorder()
		New(tier).ServeHTTP(w, httptest.NewRequest(d.Cmd, path, body))
		return describeResponse(w) + cmp.Or(tier.lastRequest, "the tier saw nothing") + "\n"
	})
}

func describeResponse(w *httptest.ResponseRecorder) string {
	text := strconv.Itoa(w.Code)
	if allow := w.Header().Get("Allow"); allow != "" {
		text += " Allow: " + allow
	}
	if w.Header().Get("Retry-After") != "" {
		text += " Retry-After"
	}
	text += "\n"
	if w.Body.Len() == 0 {
		return text
	}
	v, err := codec.DecodeJSON[wire.Refusal](w.Body, 1<<16)
	if err != nil {
		return text + "an answer\n"
	}
	return text + codec.FromWireRefusal(&v).Error() + " (" + v.Effect + ")\n"
}

func fuzzHandler(f *testing.F, path string, seeds ...string) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		tier := &scriptedTier{maxBodyBytes: 4096}
		w := httptest.NewRecorder()
		New(tier).ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))))
		if w.Code == http.StatusOK {
			if tier.lastRequest == "" {
				t.Error("got status 200 for a request that did not reach the tier")
			}
			return
		}
		v, err := codec.DecodeJSON[wire.Refusal](w.Body, 1<<16)
		if err != nil {
			t.Fatalf("got status %d without a coded refusal: %v", w.Code, err)
		}
		code := result.Code(v.Code)
		if code < 200 || code >= 300 || code.Effect() != result.NotRun || w.Code < 400 || w.Code >= 500 {
			t.Errorf("got code %d with status %d, want an input error", code, w.Code)
		}
		if tier.lastRequest != "" {
			t.Errorf("got refused request %q at the tier, want none", tier.lastRequest)
		}
		if strings.ContainsAny(codec.FromWireRefusal(&v).Error(), "\r\n") {
			t.Errorf("got %q, want one line", codec.FromWireRefusal(&v))
		}
	})
}

// FuzzQuery guards against query bodies that crash the handler, or that reach the tier although the
// caller is told that they were refused.
func FuzzQuery(f *testing.F) {
	fuzzHandler(f, "/v1/query",
		`{"route":"job-lookup","groups":["tournees"],"filter":{"kind":"job"},"limit":3,"deadline":"200ms"}`,
		`{"route":"a","deadline":"-1s"}`, `{"route":"a"} {}`, `{"filter":null}`, `[`, "\"\n\"", ``)
}

// FuzzOrder guards against the same faults for orders. An order that reached the tier must not be
// reported as "not run", because the caller would then send it again (property P6).
func FuzzOrder(f *testing.F) {
	o := wire.OrderRequest{Route: "pump-order", Operation: "place-order", Key: "k", Permit: wire.Permit{
		Issuer: netip.MustParseAddrPort("10.0.0.1:7000"), Token: "t", Expires: time.Unix(1, 0).UTC(),
	}}
	whole, err := json.Marshal(o)
	if err != nil {
		f.Fatal(err)
	}
	fuzzHandler(f, "/v1/orders", string(whole), string(whole[:len(whole)-2]), `{"permit":{"issuer":"x"}}`, `{"permit":{}}`, `{}`)
}
