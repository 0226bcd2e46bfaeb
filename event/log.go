package event

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Log writes events as logfmt lines from one goroutine. A line that finds the queue full, or whose
// kind has had its lines for this second, is counted and left out.
type Log struct {
	w    io.Writer
	vm   string
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	queue   []line
	seq     uint64
	second  int64
	used    [kinds]int
	dropped [kinds]uint64
	counts  [kinds]uint64
}

type line struct {
	at     time.Time
	seq    uint64
	kind   Kind
	fields []Field
}

var _ Recorder = (*Log)(nil)

// NewLog starts the writing goroutine; Close ends it.
func NewLog(w io.Writer, vm string) *Log {
	l := &Log{w: w, vm: vm, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go l.loop()
	return l
}

// Record queues an event.
func (l *Log) Record(k Kind, fields ...Field) {
	l.put(time.Now(), k, fields)
}

// Counts returns how often each kind was recorded, lines left out included.
func (l *Log) Counts() map[Kind]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[Kind]uint64, kinds)
	for k, n := range l.counts {
		if n > 0 {
			counts[Kind(k)] = n
		}
	}
	return counts
}

// Close writes what is queued and ends the writer. It waits at most for the given time, because the
// reader of the lines may have stopped.
func (l *Log) Close(limit time.Duration) {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}

func (l *Log) put(now time.Time, k Kind, fields []Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[k]++
	if s := now.Unix(); s != l.second {
		l.second, l.used = s, [kinds]int{}
	}
	limit := perSecond
	if k == RequestAnswered {
		limit = answeredPerSecond
	}
	room := queueLimit
	if k == RequestAnswered {
		room = queueLimit / 2
	}
	if l.used[k] >= limit || len(l.queue) >= room {
		l.dropped[k]++
		return
	}
	l.used[k]++
	l.seq++
	l.queue = append(l.queue, line{now, l.seq, k, fields})
	if len(l.queue) == 1 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (l *Log) loop() {
	defer close(l.done)
	for {
		select {
		case <-l.wake:
		case <-l.stop:
			l.flush()
			return
		}
		select {
		case <-time.After(flushEvery):
		case <-l.stop:
			l.flush()
			return
		}
		l.flush()
	}
}

// take empties the queue and adds a line for each kind of which lines were left out.
func (l *Log) take() []line {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.queue
	l.queue = nil
	for k, n := range l.dropped {
		if n > 0 {
			l.seq++
			lines = append(lines, line{time.Now(), l.seq, LinesDropped, []Field{F(Reason, Kind(k).String()), F(Count, n)}})
		}
	}
	l.dropped = [kinds]uint64{}
	return lines
}

func (l *Log) flush() {
	lines := l.take()
	if len(lines) == 0 {
		return
	}
	var out bytes.Buffer
	logger := log.NewLogfmtLogger(&out)
	keyvals := make([]any, 0, 32)
	for _, n := range lines {
		keyvals = append(keyvals[:0], "ts", n.at.UTC().Format(time.RFC3339Nano), "vm", l.vm, "seq", n.seq, "event", n.kind.String())
		for _, f := range n.fields {
			keyvals = append(keyvals, string(f.Key), f.Value)
		}
		if err := logger.Log(keyvals...); err != nil {
			l.count(Problem)
		}
	}
	if _, err := l.w.Write(out.Bytes()); err != nil {
		l.count(Problem) // nowhere is left to write the reason to; the metrics show the count
	}
}

func (l *Log) count(k Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[k]++
}
