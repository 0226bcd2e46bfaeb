package rest

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/transport"
)

// idleTimeout is how long a connection is kept after its last use.
const idleTimeout = 10 * time.Second

// Canceller cancels calls over at most one connection to each upstream; it is safe for concurrent use.
type Canceller struct {
	dial    transport.DialFunc
	mu      sync.Mutex
	clients map[netip.AddrPort]*http.Client
}

var _ transport.Canceller = (*Canceller)(nil)

// NewCanceller returns a canceller without open connections; of the options, only WithDial has an effect.
func NewCanceller(opts ...Option) *Canceller {
	o := options{dial: new(net.Dialer).DialContext}
	for _, opt := range opts {
		opt(&o)
	}
	return &Canceller{dial: o.dial, clients: map[netip.AddrPort]*http.Client{}}
}

// Cancel asks the upstream to stop a call. It ignores the status of the response, because the call may have
// ended in the meantime.
func (c *Canceller) Cancel(ctx context.Context, address netip.AddrPort, requestID string, attempt int) error {
	target := "http://" + address.String() + "/v1/requests/" + url.PathEscape(requestID)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return errors.Wrap(err, "build cancel request")
	}
	req.Header.Set("Attempt", strconv.Itoa(attempt))
	resp, err := c.client(address).Do(req)
	if err != nil {
		return errors.Wrapf(err, "send cancel request to %s", address)
	}
	return resp.Body.Close()
}

func (c *Canceller) client(address netip.AddrPort) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == nil {
		c.clients[address] = &http.Client{Transport: &http.Transport{
			DialContext: c.dial, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		}}
	}
	return c.clients[address]
}
