package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block.
type blockedWriter struct {
	blocked chan struct{}
	once    sync.Once
	release chan struct{}
}

// Write blocks until the test releases it.
func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.blocked) })
	<-w.release
	return len(p), nil
}

// TestBlockedOutput guards against requests that block, and a queue that grows without limit, when nobody reads
// the log output.
func TestBlockedOutput(t *testing.T) {
	w := &blockedWriter{blocked: make(chan struct{}), release: make(chan struct{})}
	l := NewLog(w, "vm-1")
	l.Record(ProcessStarted)
	<-w.blocked
	now := time.Unix(1000, 0)
	for i := range 10 * maxQueuedLines {
		l.enqueue(now.Add(time.Duration(i)*time.Second), RequestFailed, []Field{F(RequestID, i)})
	}
	l.mu.Lock()
	got, dropped := len(l.queue), l.dropped[RequestFailed]
	l.mu.Unlock()
	if got != maxQueuedLines || dropped != 9*maxQueuedLines {
		t.Errorf("got %d lines queued and %d dropped, want %d and %d", got, dropped, maxQueuedLines, 9*maxQueuedLines)
	}
	l.Close(time.Millisecond) // returns although the output is still blocked
	close(w.release)
	<-l.done
}

// TestLimits guards against lines about answered requests crowding out those about failures, against unlimited
// lines of one kind, and against dropping lines without a line that counts them.
func TestLimits(t *testing.T) {
	var out bytes.Buffer
	l := &Log{w: &out, vm: "vm-1", wake: make(chan struct{}, 1)}
	now := time.Unix(1000, 0)
	for range 200 {
		l.enqueue(now, RequestAnswered, nil)
		l.enqueue(now, RequestFailed, nil)
	}
	l.flush()
	for _, want := range []struct {
		text  string
		count int
	}{
		{"event=answered", maxAnsweredPerSecond},
		{"event=failed", maxLinesPerSecond},
		{"event=dropped reason=failed count=100", 1},
		{"event=dropped reason=answered count=150", 1},
	} {
		if got := strings.Count(out.String(), want.text); got != want.count {
			t.Errorf("%s: got %d lines, want %d", want.text, got, want.count)
		}
	}
	if got := l.Counts()[RequestAnswered]; got != 200 {
		t.Errorf("got %d answered events counted, want 200", got)
	}
}

// TestKinds guards against a kind without a name, and against two kinds with the same one.
func TestKinds(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range Kinds() {
		if name := k.String(); name == "" || seen[name] {
			t.Errorf("kind %d: got name %q, want a unique one", k, name)
		}
		seen[k.String()] = true
	}
}

func ExampleLog() {
	var out bytes.Buffer
	l := NewLog(&out, "vm-1")
	l.Record(RequestRefused, F(RequestID, "9c41"), F(Reason, "too many requests in flight"))
	l.Close(time.Second)
	_, line, _ := strings.Cut(out.String(), " ") // cut the timestamp, which varies
	fmt.Print(line)
	// Output:
	// vm=vm-1 seq=1 event=refused request=9c41 reason="too many requests in flight"
}
