package network

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Buffer sizes of one direction of a link; together they limit it to 1 MiB.
const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 64
)

// link is one proxied connection.
type link struct {
	client     net.Conn
	ctx        context.Context // cancelled when the link is closed
	cancel     context.CancelFunc
	frozen     chan struct{}
	freezeOnce sync.Once
}

// chunk is data in transit, to be delivered at the due time; no data means the end of the stream.
type chunk struct {
	due  time.Time
	data []byte
}

func newLink(client net.Conn) *link {
	l := &link{client: client, frozen: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// run copies data until both directions have ended or the link is closed.
func (l *link) run(target net.Conn, delays func() (forward, back time.Duration)) {
	stop := context.AfterFunc(l.ctx, func() { _ = target.Close() })
	defer stop()
	defer func() { _ = target.Close() }()
	var directions sync.WaitGroup
	directions.Go(func() {
		l.copyDirection(l.client, target, func() time.Duration { d, _ := delays(); return d })
	})
	directions.Go(func() {
		l.copyDirection(target, l.client, func() time.Duration { _, d := delays(); return d })
	})
	directions.Wait()
}

// copyDirection copies data in one direction; an error on either side closes the whole link.
func (l *link) copyDirection(from, to net.Conn, delay func() time.Duration) {
	chunks := make(chan chunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() { l.read(from, chunks, delay) })
	if err := l.write(to, chunks); err != nil {
		l.close()
	}
	reader.Wait()
}

func (l *link) read(from net.Conn, chunks chan<- chunk, delay func() time.Duration) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if l.isFrozen() {
			<-l.ctx.Done()
			return
		}
		if n > 0 && !l.enqueue(chunks, chunk{time.Now().Add(delay()), buf[:n]}) {
			return
		}
		if err != nil {
			l.enqueue(chunks, chunk{due: time.Now().Add(delay())})
			if !errors.Is(err, io.EOF) {
				l.close()
			}
			return
		}
	}
}

func (l *link) enqueue(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// write delivers each chunk when it is due, and the end of the stream as a half-close.
func (l *link) write(to net.Conn, chunks <-chan chunk) error {
	for c := range chunks {
		if !l.waitDelivery(time.Until(c.due)) {
			return nil
		}
		if len(c.data) == 0 {
			return closeWrite(to)
		}
		if _, err := to.Write(c.data); err != nil {
			return err
		}
	}
	return nil
}

// waitDelivery waits for d and reports whether the link is still open; a frozen link blocks it until closed.
func (l *link) waitDelivery(d time.Duration) bool {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-l.ctx.Done():
			return false
		}
	}
	if l.isFrozen() {
		<-l.ctx.Done()
	}
	return l.ctx.Err() == nil
}

func closeWrite(c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Close()
}

func (l *link) freeze() {
	l.freezeOnce.Do(func() { close(l.frozen) })
}

func (l *link) isFrozen() bool {
	select {
	case <-l.frozen:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.cancel()
	_ = l.client.Close()
}
