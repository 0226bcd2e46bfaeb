// Package feed reads the platform's configuration service and its list of VMs over HTTP.
package feed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/wire"
)

// responseTimeout is the time that the platform has to answer, in addition to the wait of a watch.
const responseTimeout = 2 * time.Second

// Client reads from the platform at one address.
type Client struct {
	baseURL string
	client  *http.Client
}

var _ transport.Platform = (*Client)(nil)

// Option changes a setting of a client.
type Option func(t *http.Transport)

// WithDial sets how connections are opened; the default is a net.Dialer.
func WithDial(dial transport.DialFunc) Option {
	return func(t *http.Transport) { t.DialContext = dial }
}

// New returns a client of the platform at an address.
func New(address netip.AddrPort, opts ...Option) *Client {
	t := &http.Transport{}
	for _, opt := range opts {
		opt(t)
	}
	return &Client{baseURL: "http://" + address.String(), client: &http.Client{Transport: t}}
}

// Config returns the published configuration. If wait is positive, it waits at most that long for a version
// other than the one with the given tag.
func (c *Client) Config(ctx context.Context, tag string, wait time.Duration) (transport.PublishedConfig, error) {
	query := url.Values{}
	if wait > 0 {
		query.Set("after", tag)
		query.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	resp, err := c.get(ctx, "/v1/config?"+query.Encode())
	if err != nil {
		return transport.PublishedConfig{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return transport.PublishedConfig{Tag: tag}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return transport.PublishedConfig{}, errors.Newf("read configuration: platform answered with status %d", resp.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, codec.MaxConfigBytes+1))
	if err != nil {
		return transport.PublishedConfig{}, errors.Wrap(err, "read configuration")
	}
	return transport.PublishedConfig{Tag: resp.Header.Get("Revision"), Value: value, Changed: true}, nil
}

// VMs returns the platform's list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) (wire.VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	resp, err := c.get(ctx, "/v1/vms")
	if err != nil {
		return wire.VMList{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return wire.VMList{}, errors.Newf("read list of VMs: platform answered with status %d", resp.StatusCode)
	}
	var list wire.VMList
	err = json.NewDecoder(io.LimitReader(resp.Body, codec.MaxConfigBytes)).Decode(&list)
	return list, errors.Wrap(err, "read list of VMs")
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := c.client.Do(req)
	return resp, errors.Wrap(err, "send request to the platform")
}
