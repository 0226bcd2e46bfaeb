package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	answerBytes   = 2 << 20
	clientLink    = 22_000_000 / 8 // bytes a second of a link of 22 Mbit/s
	clientBuffer  = 32 << 10
	graceTime     = 6 * time.Second
	slowReaders   = 4
	termToRequest = 1600 * time.Millisecond
)

// readSlowly sends a request and reads the answer at the speed of the client's link. It returns the bytes of the body and the
// announced length.
func readSlowly(address, path, id string) (got, length int64, status int, err error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		failed := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
		})
		if failed != nil {
			return failed
		}
		return err
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return 0, 0, 0, err
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: pupu76.example\r\nX-Pistachioshore-Request-Id: %s\r\nX-Pistachioshore-Deadline-Ms: 5000\r\n\r\n", path, id)
	if err != nil {
		return 0, 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	if err != nil {
		return 0, 0, 0, err
	}
	start := time.Now()
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		got += int64(n)
		if err == io.EOF {
			return got, resp.ContentLength, resp.StatusCode, nil
		}
		if err != nil {
			return got, resp.ContentLength, resp.StatusCode, err
		}
		due := time.Duration(float64(got) / clientLink * float64(time.Second))
		time.Sleep(due - time.Since(start))
	}
}

// slowRead plays the planned stop of a VM while clients read their answers.
func slowRead(l *lab, trouble bool) (int, error) {
	zones := []string{"perth-north", "perth-east", "perth-south"}
	const service = "care-desk"
	for n, zone := range zones {
		s, err := l.addServer(service, zone, n, 6, 220*time.Millisecond)
		if err != nil {
			return 0, err
		}
		s.body = func(id string) []byte { return bytes.Repeat([]byte("d"), answerBytes) }
		s.register("ready")
		if _, err := l.addVM(zone); err != nil {
			return 0, err
		}
	}
	l.putConfig(config{Version: 7, Limits: limits(), Services: []configSvc{{Name: service, HealthPath: "/health", MaxConnections: 500, Protocol: "h1", WarmupS: 3}}, Routes: []configRoute{
		{Name: "r-bon", Host: "pupu76.example", Prefix: "/timi402/", Type: "idempotent", TimeoutMs: 5000, TargetMs: 800, Priority: 1, Service: service, MaxAttempts: 2},
	}})
	if err := l.startAll(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	v := l.vms[0]
	term := time.Now()
	if trouble {
		v.signal(syscall.SIGTERM)
		l.logf("platform: SIGTERM for %s", v.name)
	}
	time.Sleep(termToRequest)
	var work sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for i := range slowReaders {
		work.Go(func() {
			id := fmt.Sprintf("%016x", i)
			sent := time.Now()
			got, length, status, err := readSlowly(v.front, "/timi402/2f", id)
			l.logf("client: %s sent %v after SIGTERM at %s: status %d, %d of %d bytes in %v, error %v", id, sent.Sub(term), v.name, status, got, length, time.Since(sent), err)
			mu.Lock()
			defer mu.Unlock()
			if got != answerBytes {
				cut++
			}
		})
	}
	go func() {
		<-v.exited
		l.logf("platform: %s has ended %v after SIGTERM, of a grace of %v", v.name, time.Since(term), graceTime)
	}()
	work.Wait()
	l.say("%d of %d answers ended before they were complete", cut, slowReaders)
	if cut > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
