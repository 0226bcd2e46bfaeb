package event

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Log writes events as logfmt lines from a single goroutine. A line is dropped and counted if the queue is full
// or if its kind has reached its limit for the current second.
type Log struct {
	w    io.Writer
	vm   string
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu              sync.Mutex
	queue           []line
	seq             uint64
	second          int64
	linesThisSecond [kindCount]int
	dropped         [kindCount]uint64
	counts          [kindCount]uint64
}

type line struct {
	at     time.Time
	seq    uint64
	kind   Kind
	fields []Field
}

var _ Recorder = (*Log)(nil)

// NewLog returns a log and starts its writer goroutine, which Close stops.
func NewLog(w io.Writer, vm string) *Log {
	l := &Log{w: w, vm: vm, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go l.writeLoop()
	return l
}

// Record queues an event.
func (l *Log) Record(k Kind, fields ...Field) {
	l.enqueue(time.Now(), k, fields)
}

// Counts returns how often each kind was recorded, including dropped lines.
func (l *Log) Counts() map[Kind]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[Kind]uint64, kindCount)
	for k, n := range l.counts {
		if n > 0 {
			counts[Kind(k)] = n
		}
	}
	return counts
}

// Close writes the queued lines and stops the writer. It waits at most limit, because the output may be blocked.
func (l *Log) Close(limit time.Duration) {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}

func (l *Log) enqueue(now time.Time, k Kind, fields []Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[k]++
	if second := now.Unix(); second != l.second {
		l.second, l.linesThisSecond = second, [kindCount]int{}
	}
	limit := maxLinesPerSecond
	if k == RequestAnswered {
		limit = maxAnsweredPerSecond
	}
	maxQueued := maxQueuedLines
	if k == RequestAnswered {
		maxQueued = maxQueuedLines / 2
	}
	if l.linesThisSecond[k] >= limit || len(l.queue) >= maxQueued {
		l.dropped[k]++
		return
	}
	l.linesThisSecond[k]++
	l.seq++
	l.queue = append(l.queue, line{now, l.seq, k, fields})
	if len(l.queue) == 1 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (l *Log) writeLoop() {
	defer close(l.done)
	for {
		select {
		case <-l.wake:
		case <-l.stop:
			l.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-l.stop:
			l.flush()
			return
		}
		l.flush()
	}
}

// takeQueue empties the queue and returns its lines, with an additional one for each kind whose lines were dropped.
func (l *Log) takeQueue() []line {
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
	l.dropped = [kindCount]uint64{}
	return lines
}

func (l *Log) flush() {
	lines := l.takeQueue()
	if len(lines) == 0 {
		return
	}
	var out bytes.Buffer
	logger := log.NewLogfmtLogger(&out)
	keyvals := make([]any, 0, 32)
	for _, entry := range lines {
		keyvals = append(keyvals[:0], "ts", entry.at.UTC().Format(time.RFC3339Nano), "vm", l.vm, "seq", entry.seq, "event", entry.kind.String())
		for _, f := range entry.fields {
			keyvals = append(keyvals, string(f.Key), f.Value)
		}
		if err := logger.Log(keyvals...); err != nil {
			l.countEvent(Problem)
		}
	}
	if _, err := l.w.Write(out.Bytes()); err != nil {
		l.countEvent(Problem) // the error cannot be logged; the metrics show the count
	}
}

func (l *Log) countEvent(k Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[k]++
}
