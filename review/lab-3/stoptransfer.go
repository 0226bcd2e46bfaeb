package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// transferBytes is the size of the answers, and clientRate what the link of a client carries in bytes a second.
	transferBytes = 2 << 20
	clientRate    = 500 << 10
	transferSlice = 50 * time.Millisecond
)

// stopTransfer stops a VM as planned while clients behind slow links receive answers.
func stopTransfer(l *lab) (int, error) {
	for i, zone := range zones {
		if _, err := l.addServer([]string{"i-a1", "i-b1", "i-c1"}[i], "jobs", zone, func(s *server) {
			s.work, s.answerBytes = 200*time.Millisecond, transferBytes
		}); err != nil {
			return failed, err
		}
	}
	l.publish(7, 65536, 60, routeEntry{Name: "job", Type: "non_idempotent", TimeoutMs: 5000, TargetMs: 800, MaxAttempts: 2, Service: "jobs"})
	if err := l.startTier(3, 284, 1000); err != nil {
		return failed, err
	}
	time.Sleep(4500 * time.Millisecond) // the VMs are in touch
	v := l.vms[0]
	var mu sync.Mutex
	complete, cut := 0, 0
	var clients sync.WaitGroup
	for range 6 {
		clients.Go(func() {
			got, status, err := l.receiveSlowly(v.front)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusOK && got == transferBytes:
				complete++
			case status == http.StatusOK:
				cut++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	ran := 0
	for _, s := range l.servers {
		ran += len(s.executions())
	}
	l.logf("servers have run %d requests", ran)
	if l.trouble {
		l.logf("SIGTERM to %s", v.name)
		_ = v.cmd.Process.Signal(syscall.SIGTERM)
		v.waitExit(graceS * time.Second)
		l.logf("%s has ended", v.name)
	}
	clients.Wait()
	l.logf("%d complete answers, %d answers that broke off", complete, cut)
	switch {
	case ran == 0 || complete+cut == 0:
		return failed, nil
	case cut > 0:
		l.logf("LOST: %d connections ended without a complete answer after the request had been passed on to a server", cut)
		return broken, nil
	}
	return held, nil
}

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
		l.logf("request %s: no answer: %v", id, err)
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
	l.logf("request %s: status %d, %d of %d bytes after %v, error: %v", id, resp.StatusCode, got, resp.ContentLength, time.Since(sentAt).Round(time.Millisecond), err)
	return got, resp.StatusCode, err
}
