package socket

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/intake"
	"pistachioshore.dev/wire"
)

// describe returns the kind of a message and the bytes that it carries.
func describe(m *wire.Envelope) string {
	switch {
	case m.ConfigValue != nil:
		return fmt.Sprintf("%s of %d", m.Kind, len(m.ConfigValue.Value))
	case m.QueryForward != nil:
		return fmt.Sprintf("%s of %d", m.Kind, len(m.QueryForward.Body))
	case m.QueryResult != nil:
		return fmt.Sprintf("%s of %d", m.Kind, len(m.QueryResult.Records))
	case m.ConfigRequest != nil:
		return fmt.Sprintf("%s, pages %t", m.Kind, m.ConfigRequest.Pages)
	}
	return m.Kind
}

// newMessage returns a message of a kind that carries n bytes.
func newMessage(kind string, n int) *wire.Envelope {
	data := bytes.Repeat([]byte{'x'}, n)
	e := &wire.Envelope{Kind: kind}
	switch kind {
	case codec.KindConfigValue:
		e.ConfigValue = &wire.ConfigValue{Value: data}
	case codec.KindQueryForward:
		e.QueryForward = &wire.QueryForward{Body: data, Header: []wire.HeaderLine{}}
	case codec.KindQueryResult:
		e.QueryResult = &wire.QueryResult{Records: data, Stamps: []string{}}
	case codec.KindConfigRequest:
		e.ConfigRequest = &wire.ConfigRequest{Pages: true}
	default:
		e.Heartbeat = &wire.Heartbeat{Heard: []wire.HeardPeer{}}
	}
	return e
}

// largeScript plays a script on a link from one VM to another.
type largeScript struct {
	t        *testing.T
	from, to *testPeer

	mu      sync.Mutex
	dropped []string // reasons for dropped messages, of both VMs
}

// TestLarge guards against a link that cannot carry a message of any kind up to the limit, or that is lost because a message
// exceeds the limit or finds no memory, and against heartbeats that wait behind a large state. Such a message used to close the
// link again and again, with the queries on it. VMs of the earlier version must get what they can read.
func TestLarge(t *testing.T) {
	datadriven.RunTest(t, "testdata/large.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := &largeScript{t: t}
		s.connect(d)
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			out.WriteString(s.run(strings.Fields(line)))
		}
		s.from.recorder.mu.Lock()
		defer s.from.recorder.mu.Unlock()
		return fmt.Sprintf("%slinks lost %d\n", out.String(), s.from.recorder.disconnects)
	})
}

// connect opens the link. The arguments are the message limit, the bytes of the read budget, and whether the receiver or the
// sender is of the earlier version.
func (s *largeScript) connect(d *datadriven.TestData) {
	opts := []Option{WithPing(time.Second, 10*time.Second), WithDropped(func(_ netip.AddrPort, reason error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dropped = append(s.dropped, reason.Error())
	})}
	var limit, budget int
	if d.MaybeScanArgs(s.t, "limit", &limit) {
		opts = append(opts, WithMessageLimit(limit))
	}
	if d.MaybeScanArgs(s.t, "budget", &budget) {
		opts = append(opts, WithReadBudget(intake.NewBudget(int64(budget))))
	}
	earlier := func(o *options) { o.subprotocols = []string{EarlierSubprotocol} }
	s.from, s.to = newTestPeer(s.t, opts...), newTestPeer(s.t, opts...)
	if d.HasArg("earlier-receiver") {
		earlier(&s.to.hub.opts)
	}
	if d.HasArg("earlier-sender") {
		earlier(&s.from.hub.opts)
	}
	s.from.hub.Connect(s.to.address)
	sendOne(s.t, s.from, s.to)
}

// run executes a line: "send" waits until the messages have arrived, "drop" until they have been dropped. Both take a kind and a
// number of bytes; further ones follow after a comma.
func (s *largeScript) run(f []string) string {
	before := len(s.arrived())
	droppedBefore := len(s.reasons())
	messages := strings.Split(strings.Join(f[1:], " "), ", ")
	for _, text := range messages {
		var kind string
		var n int
		fmt.Sscan(text, &kind, &n)
		if !s.from.hub.Send(s.to.address, newMessage(kind, n)) {
			s.t.Fatalf("%s was not accepted", text)
		}
	}
	if f[0] == "drop" {
		s.waitFor("drop", func() bool { return len(s.reasons()) >= droppedBefore+len(messages) })
		return strings.Join(s.reasons()[droppedBefore:], "\n") + "\n"
	}
	s.waitFor("arrival", func() bool { return len(s.arrived()) >= before+len(messages) })
	return strings.Join(s.arrived()[before:], "\n") + "\n"
}

func (s *largeScript) arrived() []string {
	s.to.recorder.mu.Lock()
	defer s.to.recorder.mu.Unlock()
	return s.to.recorder.arrived
}

func (s *largeScript) reasons() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// waitFor polls a condition until it holds.
func (s *largeScript) waitFor(what string, holds func() bool) {
	s.t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(testTimeout)
	for !holds() {
		select {
		case <-tick.C:
		case <-timeout:
			s.t.Fatalf("timed out waiting for %s", what)
		}
	}
}
