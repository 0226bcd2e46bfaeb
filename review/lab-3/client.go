package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// lastID is the number in the ID of the last request.
var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// answer is what a client got for one request.
type answer struct {
	id     string
	status int // 0 without a complete answer
	body   []byte
	stamp  string
	err    error
	sentAt time.Time
	took   time.Duration
}

// client sends requests to one VM, one at a time, over a connection that it keeps.
type client struct {
	http  *http.Client
	front string
}

func newClient(front string) *client {
	return &client{front: front, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 8 * time.Second}}
}

// send sends one request with a deadline and waits for its answer.
func (c *client) send(method, path string, body []byte, deadline time.Duration) answer {
	return c.sendUntil(context.Background(), method, path, body, deadline)
}

// sendUntil is send, but closes the connection when ctx ends.
func (c *client) sendUntil(ctx context.Context, method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.front+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Pistachioshore-Request-Id", a.id)
	r.Header.Set("X-Pistachioshore-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(r)
	if err == nil {
		a.stamp = resp.Header.Get("X-Pistachioshore-Response-Stamp")
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err, a.took = err, time.Since(a.sentAt)
	return a
}
