package tier

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Limits of a caller.
const (
	requestTimeout   = 5 * time.Second // longer than every route's deadline
	maxOrderAttempts = 4
	orderRetryDelay  = 200 * time.Millisecond
	maxAnswerBytes   = 16 << 20
)

// Client sends requests as a firm's callers do, distributes them over the ready VMs and records their outcomes
// for the audit.
type Client struct {
	tier      *Tier
	http      *http.Client
	pickCount atomic.Uint64

	onAnswer func(a wire.QueryAnswer)
}

// NewClient returns a client that sends requests to the VMs of t.
func NewClient(t *Tier) *Client {
	return &Client{tier: t, http: &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
}

// OnAnswer registers a function that is called with each answer to a look-up; the answer states why shards
// are missing. It must be called before the first request.
func (c *Client) OnAnswer(fn func(a wire.QueryAnswer)) {
	c.onAnswer = fn
}

// PickVM returns the next ready VM in round-robin order. If no VM is ready it returns a running one, or nil
// if there is none.
func (c *Client) PickVM() *VM {
	vms := c.tier.VMs()
	n := c.pickCount.Add(1)
	var running *VM
	for i := range vms {
		v := vms[(int(n)+i)%len(vms)]
		if !v.Running() {
			continue
		}
		if v.Ready() {
			return v
		}
		running = v
	}
	return running
}

// Query sends one look-up to a VM and records its outcome.
func (c *Client) Query(ctx context.Context, v *VM, caller string, req wire.QueryRequest) audit.Query {
	q := audit.Query{Groups: req.Groups, Limit: req.Limit, Filter: codec.FromWireFilter(req.Filter)}
	if len(q.Groups) == 0 {
		q.Groups = c.routeGroups(req.Route)
	}
	q.Call = audit.Call{Caller: caller, VM: v.Address, SentAt: time.Now()}
	a, refusal, err := post[wire.QueryAnswer](ctx, c.http, v, "/v1/query", req)
	q.ReturnedAt = time.Now()
	switch {
	case err != nil:
		q.NotSent = isConnectionRefused(err)
	case refusal != nil:
		q.SetRefusal(*refusal)
	default:
		q.SetAnswer(*a)
		if c.onAnswer != nil {
			c.onAnswer(*a)
		}
	}
	c.tier.recorder.RecordQuery(q)
	return q
}

func (c *Client) routeGroups(route string) []string {
	if r, ok := c.tier.Catalog().Route(route); ok {
		return r.Groups
	}
	return nil
}

// Order obtains a permit from one VM and sends the order to the next VMs until its outcome is known or the
// attempts are exhausted.
func (c *Client) Order(ctx context.Context, caller string, req wire.OrderRequest) audit.Order {
	return c.orderWithRetries(ctx, c.PickVM(), c.PickVM, caller, req)
}

// OrderVia is like Order, but obtains the permit from v and sends the first attempt to v.
func (c *Client) OrderVia(ctx context.Context, v *VM, caller string, req wire.OrderRequest) audit.Order {
	first := true
	return c.orderWithRetries(ctx, v, func() *VM {
		if first {
			first = false
			return v
		}
		return c.PickVM()
	}, caller, req)
}

func (c *Client) orderWithRetries(ctx context.Context, v *VM, pickVM func() *VM, caller string, req wire.OrderRequest) audit.Order {
	permit, refusal, err := post[wire.Permit](ctx, c.http, v, "/v1/permits", struct{}{})
	if err != nil || refusal != nil {
		o := audit.Order{Operation: req.Operation, Key: req.Key, Quantity: req.Quantity}
		o.Call = audit.Call{Caller: caller, VM: v.Address, Code: result.NotReady, NotSent: true}
		return o // not recorded: without a permit no order was sent
	}
	req.Permit = *permit
	var last audit.Order
	for n := range maxOrderAttempts {
		if n > 0 && !pool.Sleep(ctx, orderRetryDelay) {
			break
		}
		last = c.attemptOrder(ctx, pickVM(), caller, req)
		if last.Code != 0 && last.Code.Effect() != result.MayHaveRun {
			break
		}
	}
	return last
}

func (c *Client) attemptOrder(ctx context.Context, v *VM, caller string, req wire.OrderRequest) audit.Order {
	o := audit.Order{
		PermitID: audit.PermitID(req.Permit), Operation: req.Operation, Key: req.Key, Quantity: req.Quantity,
		Call: audit.Call{Caller: caller, VM: v.Address, SentAt: time.Now()},
	}
	a, refusal, err := post[wire.OrderAnswer](ctx, c.http, v, "/v1/orders", req)
	o.ReturnedAt = time.Now()
	switch {
	case err != nil:
		o.NotSent = isConnectionRefused(err)
	case refusal != nil:
		o.SetRefusal(*refusal)
	default:
		o.SetAnswer(*a)
	}
	c.tier.recorder.RecordOrder(o)
	return o
}

// post sends a JSON body to a VM and decodes the response: an answer if the status is 200, otherwise a refusal.
func post[T any](ctx context.Context, client *http.Client, v *VM, path string, body any) (*T, *wire.Refusal, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.Address.String()+path, bytes.NewReader(b))
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		r, err := codec.DecodeJSON[wire.Refusal](resp.Body, maxAnswerBytes)
		return nil, &r, err
	}
	a, err := codec.DecodeJSON[T](resp.Body, maxAnswerBytes)
	return &a, nil, err
}

// isConnectionRefused reports whether the VM refused the connection, as a stopped VM does. The request then
// had no effect.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
