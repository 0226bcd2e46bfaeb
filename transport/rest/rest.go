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

// Client opens HTTP connections to upstreams; it is safe for concurrent use.
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

// conn is an HTTP transport restricted to one TCP connection, so that net/http cannot resend a call on
// another one.
type conn struct {
	baseURL string
	watched *watchedConn
	dialed  atomic.Bool
	client  *http.Client
	maxBody int64
}

func newConn(address netip.AddrPort, nc net.Conn, o options) *conn {
	c := &conn{
		baseURL: "http://" + address.String(),
		watched: &watchedConn{Conn: nc},
		maxBody: o.maxBody,
	}
	t := &http.Transport{DialContext: c.dial, MaxConnsPerHost: 1, DisableCompression: true}
	c.client = &http.Client{Transport: otelhttp.NewTransport(t, o.trace...), CheckRedirect: refuseRedirect}
	return c
}

// dial returns the connection on the first call. The HTTP transport dials again only if that connection has
// been lost, so every further call fails.
func (c *conn) dial(context.Context, string, string) (net.Conn, error) {
	if c.dialed.Swap(true) {
		return nil, errors.New("connection lost")
	}
	return c.watched, nil
}

// OnRemoteClose registers a function that is called once when the upstream has closed or reset the connection.
func (c *conn) OnRemoteClose(fn func()) {
	c.watched.onRemoteClose(fn)
}

// Close closes the connection.
func (c *conn) Close() error {
	return c.watched.Close()
}

// Do runs one call; the code of the reply tells whether the upstream may have started it.
func (c *conn) Do(ctx context.Context, call transport.Call) transport.Reply {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	writtenBefore := c.watched.written.Load()
	resp, err := c.send(ctx, call)
	if err != nil {
		_ = c.Close()
		return transport.Reply{Code: failureCode(ctx, c.watched.written.Load() > writtenBefore)}
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := decodeResponse(resp, c.maxBody)
	if err != nil {
		remoteClosed := c.watched.isRemoteClosed()
		_ = c.Close()
		reply.Code = bodyFailureCode(ctx, remoteClosed)
	}
	return reply
}

// refuseRedirect keeps the client from following redirects, which would send a call a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (c *conn) send(ctx context.Context, call transport.Call) (*http.Response, error) {
	path, body, err := encodeRequest(call)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.GetBody = nil // without GetBody, net/http cannot resend the body on another connection
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Id", call.RequestID)
	req.Header.Set("Attempt", strconv.Itoa(call.Attempt))
	req.Header.Set("Deadline", call.Deadline.UTC().Format(time.RFC3339Nano))
	req.Header.Set("Snapshot", strconv.FormatUint(call.Snapshot, 10))
	return c.client.Do(req)
}

func encodeRequest(call transport.Call) (path string, body []byte, err error) {
	if call.Operation != "" {
		body, err = json.Marshal(wire.ExecuteRequest{Operation: call.Operation, Key: call.Key, Quantity: call.Quantity})
		return "/v1/execute", body, err
	}
	body, err = json.Marshal(wire.SearchRequest{
		Shard: call.Shard, Snapshot: call.Snapshot, Filter: codec.ToWireFilter(call.Filter), Limit: call.Limit,
	})
	return "/v1/search", body, err
}

// failureCode returns the code of a call that ended without a response.
func failureCode(ctx context.Context, written bool) result.Code {
	switch {
	case !written:
		return result.Unreachable
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Late
	case ctx.Err() != nil:
		return result.OutcomeUnknown // cancelled by this VM, which says nothing about the upstream
	default:
		return result.ConnectionLost
	}
}

// bodyFailureCode returns the code of a call whose response body could not be read or decoded.
func bodyFailureCode(ctx context.Context, remoteClosed bool) result.Code {
	if remoteClosed && ctx.Err() == nil {
		return result.ConnectionLost
	}
	if ctx.Err() != nil {
		return failureCode(ctx, true)
	}
	return result.UpstreamFailed
}

func decodeResponse(resp *http.Response, limit int64) (transport.Reply, error) {
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
