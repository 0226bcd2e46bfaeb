package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// transferBytes is the size of the answers, and clientRate what the link of a client carries in bytes a second.
	transferBytes = 2 << 20
	clientRate    = 500 << 10
	transferSlice = 50 * time.Millisecond
)

// receiveSlowly sends a request and reads the answer at the rate of the client's link. It returns the bytes of the body that
// arrived.
func (l *lab) receiveSlowly(front string) (got, status int, err error) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	id, sentAt := newID(), time.Now()
	_, err = fmt.Fprintf(conn, "POST /job/1 HTTP/1.1\r\nHost: %s\r\nX-Pistachioshore-Request-Id: %s\r\nX-Pistachioshore-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\npump", host, id)
	if err != nil {
		return 0, 0, err
	}
	br := bufio.NewReaderSize(conn, 16<<10)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		l.note("request %s: no answer: %v", id, err)
		return 0, 0, err
	}
	for err == nil {
		time.Sleep(transferSlice)
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, int64(clientRate*transferSlice/time.Second))
		got += int(n)
	}
	if err == io.EOF {
		err = nil
	}
	l.note("request %s: status %d, %d of %d bytes after %v, error: %v", id, resp.StatusCode, got, resp.ContentLength, time.Since(sentAt).Round(time.Millisecond), err)
	return got, resp.StatusCode, err
}
