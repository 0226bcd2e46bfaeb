package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// host is the Host header of the clients' requests.
const host = "pupu.example"

// client sends requests to one VM over a keep-alive connection.
type client struct {
	vm     *vm
	http   *http.Client
	rand   *rand.Rand
	nextID *atomic.Uint64
	record func(c clientRequest)
}

func newClient(v *vm, seed uint64, nextID *atomic.Uint64, record func(c clientRequest)) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	t := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &client{
		vm: v, http: &http.Client{Transport: t, Timeout: requestDeadline + 3*lateSlack}, rand: rand.New(rand.NewPCG(seed, 2)), nextID: nextID, record: record,
	}
}

// run sends requests until done is closed.
func (c *client) run(done <-chan struct{}) {
	defer c.http.CloseIdleConnections()
	for n := 0; ; n++ {
		wait(requestInterval/2+time.Duration(c.rand.Int64N(int64(requestInterval))), done)
		select {
		case <-done:
			return
		default:
		}
		c.record(c.send(c.randomRoute()))
	}
}

// randomRoute returns the route of the next request.
func (c *client) randomRoute() string {
	switch n := c.rand.IntN(20); {
	case n < 9:
		return "look"
	case n < 13:
		return "job"
	case n < 18:
		return "order"
	default:
		return fmt.Sprintf("extra-%d", c.rand.IntN(3))
	}
}

// send sends one request and returns its record.
func (c *client) send(route string) clientRequest {
	n := c.nextID.Add(1)
	return c.sendTo(n, route, fmt.Sprintf("/%s/%d", route, n), "pump "+strconv.FormatUint(n, 10))
}

// sendTo sends the request with number n to a path; the body is that of an order.
func (c *client) sendTo(n uint64, route, path, body string) clientRequest {
	out := clientRequest{id: fmt.Sprintf("%016x", n), vm: c.vm, route: route, path: path, sentAt: time.Now()}
	method := http.MethodPost
	if route != "order" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, "http://"+c.vm.frontAddress.String()+out.path, strings.NewReader(body))
	if err != nil {
		panic(err) // cannot happen: the address and path are always valid
	}
	r.GetBody = nil // keeps net/http from sending the request a second time
	r.Host = host
	r.Header.Set("X-Pistachioshore-Request-Id", out.id)
	r.Header.Set("X-Pistachioshore-Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	resp, err := c.http.Do(r)
	if err == nil {
		out.readResponse(resp)
	}
	out.endedAt = time.Now()
	return out
}

// readResponse reads a response; a truncated one counts as no response.
func (r *clientRequest) readResponse(resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	r.status, r.body, r.stamp = resp.StatusCode, body, resp.Header.Get("X-Pistachioshore-Response-Stamp")
	for _, s := range strings.Split(resp.Header.Get("X-Pistachioshore-Part-Stamps"), ",") {
		if s = strings.TrimSpace(s); s != "" {
			r.stamps = append(r.stamps, s)
		}
	}
	missing, err := strconv.Atoi(resp.Header.Get("X-Pistachioshore-Missing-Parts"))
	if err != nil {
		missing = 0 // the header is absent
	}
	r.shards = len(r.stamps) + missing
}
