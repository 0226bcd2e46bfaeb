package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Client is a stand-in for a client of the tier. It keeps connections.
type Client struct {
	http   *http.Client
	record *Record
	prefix string
	next   atomic.Uint64
	header http.Header // further headers
}

// NewClient returns a client whose request IDs begin with the prefix.
func NewClient(r *Record, prefix string) *Client {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	return &Client{http: &http.Client{Transport: t}, record: r, prefix: prefix}
}

// Reply is the answer that a client got. Status 0 stands for none.
type Reply struct {
	ID         string
	SentAt     time.Time
	Status     int
	Header     http.Header
	Body       []byte
	RetryAfter string
}

// Send sends one request and waits for its answer until its deadline.
func (c *Client) Send(vm *VM, method, path string, deadline time.Duration, body string) Reply {
	id := fmt.Sprintf("%s%06x", c.prefix, c.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline+100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Front+path, strings.NewReader(body))
	unable(err)
	req.Host = host
	for name, values := range c.header {
		req.Header[name] = values
	}
	req.Header.Set("X-Pistachioshore-Request-Id", id)
	req.Header.Set("X-Pistachioshore-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.GetBody = nil // never send a request again under the same ID
	reply := Reply{ID: id, SentAt: time.Now()}
	c.record.Line("client sends %s %s %s to %s", id, method, path, vm.Name)
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.Line("client gets no answer to %s: %v", id, errorText(err))
		return reply
	}
	defer resp.Body.Close()
	reply.Status, reply.Header = resp.StatusCode, resp.Header
	reply.RetryAfter = resp.Header.Get("Retry-After")
	reply.Body, err = io.ReadAll(resp.Body)
	if err != nil {
		c.record.Line("client gets an incomplete answer to %s: %v", id, errorText(err))
		reply.Status = 0
		return reply
	}
	c.record.Line("client gets %d for %s after %d ms, stamp %q, part stamps %q, missing %q, Retry-After %q", reply.Status, id,
		time.Since(reply.SentAt).Milliseconds(), resp.Header.Get("X-Pistachioshore-Response-Stamp"), resp.Header.Values("X-Pistachioshore-Part-Stamps"),
		resp.Header.Get("X-Pistachioshore-Missing-Parts"), resp.Header.Get("Retry-After"))
	return reply
}

func errorText(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

const host = "catalogue.example"

// routeOf returns a route of the configuration.
func routeOf(name, prefix, kind, service string, shards []string, timeoutMs, targetMs int, topK int, share float64) map[string]any {
	r := map[string]any{"name": name, "host": host, "prefix": prefix, "type": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs, "priority": 1, "maxAttempts": 2}
	if len(shards) > 0 {
		r["gather"], r["topK"], r["minSuccessRatio"] = shards, topK, share
	} else {
		r["service"] = service
	}
	return r
}

// configOf returns a configuration.
func configOf(version int, routes []map[string]any, services []string, maxConnections int) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": maxConnections, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// wait returns the time that the answer asks the client to wait before it comes back.
func (r Reply) wait() time.Duration {
	seconds, err := strconv.ParseFloat(r.RetryAfter, 64)
	if err != nil {
		return 50 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}
