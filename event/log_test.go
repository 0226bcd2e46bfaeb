package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stopped is a reader of the lines that has stopped reading.
type stopped struct {
	reached chan struct{}
	once    sync.Once
	release chan struct{}
}

// Write blocks until the test releases it.
func (s *stopped) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.reached) })
	<-s.release
	return len(p), nil
}

// TestStoppedReader guards that a reader that does not read blocks no request, and that the lines that
// wait for it are bounded.
func TestStoppedReader(t *testing.T) {
	w := &stopped{reached: make(chan struct{}), release: make(chan struct{})}
	l := NewLog(w, "vm-1")
	l.Record(ProcessStarted)
	<-w.reached
	now := time.Unix(1000, 0)
	for i := range 10 * queueLimit {
		l.put(now.Add(time.Duration(i)*time.Second), RequestFailed, []Field{F(RequestID, i)})
	}
	l.mu.Lock()
	got, dropped := len(l.queue), l.dropped[RequestFailed]
	l.mu.Unlock()
	if got != queueLimit || dropped != 9*queueLimit {
		t.Errorf("got %d lines waiting and %d left out, want %d and %d", got, dropped, queueLimit, 9*queueLimit)
	}
	l.Close(time.Millisecond) // returns although the reader still does not read
	close(w.release)
	<-l.done
}

// TestLimits guards that requests that went well give way to those that did not, that lines are limited
// for each kind, and that what is left out is counted in a line of its own.
func TestLimits(t *testing.T) {
	var out bytes.Buffer
	l := &Log{w: &out, vm: "vm-1", wake: make(chan struct{}, 1)}
	now := time.Unix(1000, 0)
	for range 200 {
		l.put(now, RequestAnswered, nil)
		l.put(now, RequestFailed, nil)
	}
	l.flush()
	for _, want := range []struct {
		text  string
		count int
	}{
		{"event=answered", answeredPerSecond},
		{"event=failed", perSecond},
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

// TestKinds guards that every kind has a name of its own.
func TestKinds(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range Kinds() {
		if name := k.String(); name == "" || seen[name] {
			t.Errorf("kind %d: got name %q, want one of its own", k, name)
		}
		seen[k.String()] = true
	}
}

// ExampleLog shows a line.
func ExampleLog() {
	var out bytes.Buffer
	l := NewLog(&out, "vm-1")
	l.Record(RequestRefused, F(RequestID, "9c41"), F(Reason, "too many requests in flight"))
	l.Close(time.Second)
	_, line, _ := strings.Cut(out.String(), " ") // the time differs
	fmt.Print(line)
	// Output:
	// vm=vm-1 seq=1 event=refused request=9c41 reason="too many requests in flight"
}
