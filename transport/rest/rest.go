// Package rest calls upstreams over HTTP, one call at a time on each connection.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/wire"
)

// Client opens HTTP connections to upstreams.
type Client struct {
	opts options
}

var _ transport.Connector = (*Client)(nil)

// New returns a client.
func New(opts ...Option) *Client {
	o := options{maxBody: 1 << 20, dial: new(net.Dialer).DialContext}
	for _, opt := range opts {
		opt(&o)
	}
	return &Client{opts: o}
}

// Connect opens one connection.
func (c *Client) Connect(ctx context.Context, address netip.AddrPort) (transport.Conn, error) {
	nc, err := c.opts.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	return newConn(address, nc, c.opts), nil
}

// conn owns an HTTP transport that can use nothing but one TCP connection, so that no call is
// sent again behind the caller's back.
type conn struct {
	base    string
	watched *watchedConn
	taken   atomic.Bool
	client  *http.Client
	maxBody int64
}

func newConn(address netip.AddrPort, nc net.Conn, o options) *conn {
	c := &conn{
		base:    "http://" + address.String(),
		watched: &watchedConn{Conn: nc},
		maxBody: o.maxBody,
	}
	t := &http.Transport{DialContext: c.dial, MaxConnsPerHost: 1, DisableCompression: true}
	c.client = &http.Client{Transport: otelhttp.NewTransport(t, o.trace...), CheckRedirect: answerAsIs}
	return c
}

// dial hands out the connection once; a second request for one means that the first is lost.
func (c *conn) dial(context.Context, string, string) (net.Conn, error) {
	if c.taken.Swap(true) {
		return nil, errors.New("the connection is lost")
	}
	return c.watched, nil
}

// OnRemoteClose has fn called once the other end has closed or reset the connection.
func (c *conn) OnRemoteClose(fn func()) {
	c.watched.onEnded(fn)
}

// Close ends the connection.
func (c *conn) Close() error {
	return c.watched.Close()
}

// Do runs one call and says in the reply's code whether the upstream may have started it.
func (c *conn) Do(ctx context.Context, call transport.Call) transport.Reply {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	before := c.watched.written.Load()
	resp, err := c.send(ctx, call)
	if err != nil {
		_ = c.Close()
		return transport.Reply{Code: failure(ctx, c.watched.written.Load() > before)}
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := decode(resp, c.maxBody)
	if err != nil {
		ended := c.watched.hasEnded()
		_ = c.Close()
		reply.Code = bodyFailure(ctx, ended)
	}
	return reply
}

// answerAsIs keeps a redirect from sending a call a second time.
func answerAsIs(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (c *conn) send(ctx context.Context, call transport.Call) (*http.Response, error) {
	path, body, err := encode(call)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.GetBody = nil // without it, net/http cannot replay the body on another connection
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Id", call.RequestID)
	req.Header.Set("Attempt", strconv.Itoa(call.Attempt))
	req.Header.Set("Deadline", call.Deadline.UTC().Format(time.RFC3339Nano))
	req.Header.Set("Snapshot", strconv.FormatUint(call.Snapshot, 10))
	return c.client.Do(req)
}

func encode(call transport.Call) (path string, body []byte, err error) {
	if call.Operation != "" {
		body, err = json.Marshal(wire.ExecuteRequest{Operation: call.Operation, Key: call.Key, Quantity: call.Quantity})
		return "/v1/execute", body, err
	}
	body, err = json.Marshal(wire.SearchRequest{
		Shard: call.Shard, Snapshot: call.Snapshot, Filter: codec.ToWireFilter(call.Filter), Limit: call.Limit,
	})
	return "/v1/search", body, err
}

// failure names the outcome of a call without a response.
func failure(ctx context.Context, written bool) result.Code {
	switch {
	case !written:
		return result.Unreachable
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Late
	case ctx.Err() != nil:
		return result.OutcomeUnknown // given up here, which says nothing about the upstream
	default:
		return result.ConnectionLost
	}
}

// bodyFailure names the outcome of a call whose response could not be read to its end.
func bodyFailure(ctx context.Context, ended bool) result.Code {
	if ended && ctx.Err() == nil {
		return result.ConnectionLost
	}
	if ctx.Err() != nil {
		return failure(ctx, true)
	}
	return result.UpstreamFailed
}

func decode(resp *http.Response, limit int64) (transport.Reply, error) {
	reply := transport.Reply{Incarnation: resp.Header.Get("Incarnation")}
	reply.Code = statusCode(resp)
	if reply.Code != result.Complete {
		return reply, nil
	}
	if resp.Request.URL.Path == "/v1/execute" {
		return decodeExecute(resp, limit, reply)
	}
	v, err := codec.DecodeJSON[wire.SearchResponse](resp.Body, int(limit))
	if err != nil {
		return reply, err
	}
	reply.Snapshot = v.Snapshot
	reply.Records = codec.FromWireRecords(v.Records)
	reply.Matched = v.Matched
	return reply, nil
}

func decodeExecute(resp *http.Response, limit int64, reply transport.Reply) (transport.Reply, error) {
	v, err := codec.DecodeJSON[wire.ExecuteResponse](resp.Body, int(limit))
	if err != nil {
		return reply, err
	}
	reply.Code = result.Executed
	reply.Receipt = v.Receipt
	return reply, nil
}

func statusCode(resp *http.Response) result.Code {
	switch {
	case resp.StatusCode == http.StatusOK:
		return result.Complete
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Shed") == "true":
		return result.UpstreamShed
	case resp.StatusCode == http.StatusConflict:
		return result.SnapshotGone
	case resp.StatusCode == http.StatusRequestTimeout:
		return result.DeadlineExpired
	case resp.StatusCode == http.StatusNotFound:
		return result.UnknownShard
	default:
		return result.UpstreamFailed
	}
}
