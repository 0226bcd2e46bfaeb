package upstream

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/record"
	"pistachioshore.dev/wire"
)

// TestScripts runs each block of testdata as one upstream under fake time. The scripts guard against a
// stand-in that refuses, ends or counts requests differently from the published protocol. If it were more
// lenient than a real upstream, it would hide faults of the tier.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := ""
			synctest.Test(t, func(t *testing.T) { out = runScript(t, d) })
			return out
		})
	})
}

// script is one upstream with its clients.
type script struct {
	t        *testing.T
	upstream *Upstream
	network  *memoryNetwork
	start    time.Time
	clients  map[string]*http.Client
	calls    sync.WaitGroup

	mu  sync.Mutex
	out []event
}

// event is one line of output. The order of events at one instant varies, so they are sorted by text.
type event struct {
	at   time.Duration
	text string
}

func runScript(t *testing.T, d *datadriven.TestData) string {
	settings := Settings{Name: "u", Incarnation: "x", ServiceTime: 10 * time.Millisecond, RestartTime: time.Second, Snapshots: []uint64{1, 2}}
	d.MaybeScanArgs(t, "slots", &settings.Slots)
	d.MaybeScanArgs(t, "queue", &settings.QueueLimit)
	d.MaybeScanArgs(t, "connections", &settings.MaxConnections)
	d.MaybeScanArgs(t, "cold", &settings.ColdLimit)
	d.MaybeScanArgs(t, "warm", &settings.WarmAfter)
	if d.HasArg("connect") {
		settings.ConnectTime = 6 * time.Millisecond
	}
	s := &script{t: t, network: &memoryNetwork{}, start: time.Now(), clients: map[string]*http.Client{}}
	load := func(shard string, snapshot uint64) ([]record.Record, bool) {
		return []record.Record{{Schema: 1, Kind: record.KindPart, Key: "k", Description: fmt.Sprint("snapshot ", snapshot)}}, shard == "s"
	}
	s.upstream = New(settings, load, s.network.listen)
	if err := s.upstream.Open(); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(d.Input) {
		s.step(strings.Fields(line))
		synctest.Wait()
	}
	s.calls.Wait()
	s.counts()
	s.upstream.Close()
	for _, c := range s.clients {
		c.CloseIdleConnections()
	}
	slices.SortFunc(s.out, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.text, b.text))
	})
	text := ""
	for _, e := range s.out {
		text += fmt.Sprintf("%v %s\n", e.at, e.text)
	}
	return text
}

func (s *script) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = append(s.out, event{time.Since(s.start), fmt.Sprintf(format, args...)})
}

// step runs one line of a script: a command, then arguments of the form key=value.
func (s *script) step(words []string) {
	args := map[string]string{"deadline": "1s", "snapshot": "1", "shard": "s", "attempt": "1", "contains": ""}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		args[key] = value
	}
	if ids := strings.Split(args["id"], ","); len(ids) > 1 {
		for _, id := range ids {
			s.step(append(slices.Clone(words), "id="+id))
			synctest.Wait()
		}
		return
	}
	switch words[0] {
	case "wait":
		d, _ := time.ParseDuration(words[1])
		time.Sleep(d)
	case "search":
		body := fmt.Sprintf(`{"shard":%q,"snapshot":%s,"filter":{"contains":%q},"limit":10}`, args["shard"], args["snapshot"], args["contains"])
		s.call(args, "POST", "/v1/search", body)
	case "execute":
		s.call(args, "POST", "/v1/execute", fmt.Sprintf(`{"operation":"order","key":%q,"quantity":1}`, args["key"]))
	case "cancel":
		s.call(args, "DELETE", "/v1/requests/"+args["of"], "")
	case "get":
		s.call(args, "GET", args["path"], "")
	case "faults":
		req, err := codec.DecodeJSON[wire.UpstreamFaults](strings.NewReader(strings.Join(words[1:], " ")), maxBodyBytes)
		if err == nil {
			err = s.upstream.SetFaultsFromWire(req)
		}
		if err != nil {
			s.log("faults: %v", err)
		}
	case "leave":
		s.client(args["id"]).CloseIdleConnections()
		s.network.closeConn(args["id"])
	case "counts":
		s.counts()
	default:
		s.t.Fatalf("unknown step %q", words[0])
	}
}

func (s *script) counts() {
	c := s.upstream.Counts()
	text := ""
	for _, st := range c.Starts {
		text += fmt.Sprintf(" %s/%d:%s:snapshot=%d:running=%d:cold=%t:%s", st.Request, st.Attempt, st.Operation, st.Snapshot, st.Running, st.Cold, st.Outcome)
	}
	for _, e := range c.Effects {
		text += fmt.Sprintf(" effect:%s:%s", e.Key, e.Receipt)
	}
	for _, cr := range c.Crashes {
		text += fmt.Sprintf(" crash:%s:%s", cr.Cause, cr.Fingerprint)
	}
	s.log("counts:%s running-max=%d cold-max=%d overloads=%d connections=%d max=%d over=%d late=%d/%d", text, c.RunningMaximum, c.ColdRunningMaximum,
		c.ColdOverloads, c.Connections, c.ConnectionsMaximum, c.ConnectionsOverLimit, c.StartsAfterDrain, c.StartsAfterZoneOut)
}

// client returns the client of that name; each has one connection.
func (s *script) client(name string) *http.Client {
	if s.clients[name] == nil {
		s.clients[name] = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: 1,
			DialContext:     func(context.Context, string, string) (net.Conn, error) { return s.network.dial(name) },
		}}
	}
	return s.clients[name]
}

// call sends a request in the background and logs its response or failure.
func (s *script) call(args map[string]string, method, path, body string) {
	id := args["id"]
	client := s.client(id)
	if on := args["on"]; on != "" {
		client = s.client(on)
	}
	d, _ := time.ParseDuration(args["deadline"])
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	req, err := http.NewRequestWithContext(ctx, method, "http://u"+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.GetBody = nil // keeps net/http from sending the request a second time
	req.Header.Set("Request-Id", id)
	req.Header.Set("Attempt", args["attempt"])
	req.Header.Set("Deadline", time.Now().Add(d).Format(time.RFC3339Nano))
	s.calls.Go(func() {
		defer cancel()
		resp, err := client.Do(req)
		if err != nil {
			s.log("%s: %s", id, failure(err))
			return
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.log("%s: %d %s%s%s", id, resp.StatusCode, resp.Header.Get("Incarnation"),
			map[string]string{"true": " shed"}[resp.Header.Get("Shed")], responseText(text))
	})
}

// failure describes an error as the scripts expect it. net/http reports a closed connection with several
// different texts, so they are all mapped to one.
func failure(err error) string {
	switch {
	case errors.Is(err, errRefused):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded):
		return "no response"
	default:
		return "closed"
	}
}

func responseText(body []byte) string {
	text, _, _ := strings.Cut(strings.TrimSpace(string(body)), `,"kind"`)
	if text == "" {
		return ""
	}
	return " " + text
}

var errRefused = errors.New("connection refused")

// memoryNetwork connects clients and the upstream in memory, because fake time does not work with real sockets.
type memoryNetwork struct {
	mu       sync.Mutex
	listener *memoryListener
	conns    map[string]net.Conn
}

func (n *memoryNetwork) listen() (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener = &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	return n.listener, nil
}

func (n *memoryNetwork) dial(name string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listener
	n.mu.Unlock()
	client, server := net.Pipe()
	select {
	case l.conns <- server:
	case <-l.closed:
		return nil, errRefused
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[string]net.Conn{}
	}
	n.conns[name] = client
	return client, nil
}

func (n *memoryNetwork) closeConn(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.conns[name].Close()
}

type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }
