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

// scriptedTier answers every request in one set way and notes the last one that reached it.
type scriptedTier struct {
	fail  error
	panic bool
	ready bool
	limit int
	seen  string
}

func (s *scriptedTier) reached(format string, args ...any) error {
	s.seen = fmt.Sprintf(format, args...)
	if s.panic {
		panic("scripted")
	}
	return s.fail
}

func (s *scriptedTier) Query(_ context.Context, q entry.Query) (entry.Answer, error) {
	err := s.reached("query route=%s class=%s deadline=%s limit=%d contains=%s", q.Route, q.Class, q.Deadline, q.Limit, q.Filter.Contains)
	return entry.Answer{Answer: gather.Answer[entry.Matches]{Code: result.Complete, Snapshot: 4, Revision: 7, Covered: []string{"s"}}}, err
}

func (s *scriptedTier) IssuePermit(context.Context) (permit.Permit, error) {
	return permit.Permit{Issuer: netip.MustParseAddrPort("10.0.0.1:7000"), Token: "t"}, s.reached("permit")
}

func (s *scriptedTier) ExecuteOrder(_ context.Context, o entry.Order) (entry.Outcome, error) {
	err := s.reached("order route=%s operation=%s key=%s deadline=%s issuer=%s", o.Route, o.Operation, o.Key, o.Deadline, o.Permit.Issuer)
	return entry.Outcome{Code: result.Executed, Receipt: "r"}, err
}

func (s *scriptedTier) Status() wire.Status { return wire.Status{} }
func (s *scriptedTier) Ready() bool         { return s.ready }
func (s *scriptedTier) MaxBodyBytes() int   { return s.limit }

// brokenBody fails after its text, as the body of a caller that leaves does.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestBadInput guards that every faulty request gets its numbered code with one line that names
// field and allowed range, the right HTTP status, and that none of them reaches the tier.
func TestBadInput(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
		tier := &scriptedTier{limit: 256, ready: !d.HasArg("not-ready"), panic: d.HasArg("panic")}
		if d.HasArg("fail") {
			var n string
			d.ScanArgs(t, "fail", &n)
			code, _ := strconv.Atoi(n)
			tier.fail = result.New(result.Code(code), "scripted")
		}
		var path string
		d.ScanArgs(t, "path", &path)
		body := io.Reader(strings.NewReader(d.Input))
		if d.HasArg("pad") {
			body = strings.NewReader(strings.Repeat(" ", tier.limit+1-len(d.Input)) + d.Input)
		}
		if d.HasArg("cut") {
			body = brokenBody{body}
		}
		w := httptest.NewRecorder()
		New(tier).ServeHTTP(w, httptest.NewRequest(d.Cmd, path, body))
		return describe(w) + cmp.Or(tier.seen, "the tier saw nothing") + "\n"
	})
}

func describe(w *httptest.ResponseRecorder) string {
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
		tier := &scriptedTier{limit: 4096}
		w := httptest.NewRecorder()
		New(tier).ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))))
		if w.Code == http.StatusOK {
			if tier.seen == "" {
				t.Error("an answer without the tier")
			}
			return
		}
		v, err := codec.DecodeJSON[wire.Refusal](w.Body, 1<<16)
		if err != nil {
			t.Fatalf("status %d without a coded refusal: %v", w.Code, err)
		}
		code := result.Code(v.Code)
		if code < 200 || code >= 300 || code.Effect() != result.NotRun || w.Code < 400 || w.Code >= 500 {
			t.Errorf("got code %d with status %d, want a fault of the input", code, w.Code)
		}
		if tier.seen != "" {
			t.Errorf("the tier saw %q of a refused request", tier.seen)
		}
		if strings.ContainsAny(codec.FromWireRefusal(&v).Error(), "\r\n") {
			t.Errorf("got %q, want one line", codec.FromWireRefusal(&v))
		}
	})
}

// FuzzQuery guards that no body crashes the handler or reaches the tier with a refusal.
func FuzzQuery(f *testing.F) {
	fuzzHandler(f, "/v1/query",
		`{"route":"job-lookup","groups":["tournees"],"filter":{"kind":"job"},"limit":3,"deadline":"200ms"}`,
		`{"route":"a","deadline":"-1s"}`, `{"route":"a"} {}`, `{"filter":null}`, `[`, "\"\n\"", ``)
}

// FuzzOrder guards the same for orders, where a false "not run" would break P6.
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
