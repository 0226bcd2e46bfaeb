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

// answerTime is how long the platform may take beyond the time that a watch waits.
const answerTime = 2 * time.Second

// Client reads from one platform address.
type Client struct {
	base   string
	client *http.Client
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
	return &Client{base: "http://" + address.String(), client: &http.Client{Transport: t}}
}

// Config returns the published configuration, or waits for another one.
func (c *Client) Config(ctx context.Context, tag string, wait time.Duration) (transport.PublishedConfig, error) {
	query := url.Values{}
	if wait > 0 {
		query.Set("after", tag)
		query.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
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
		return transport.PublishedConfig{}, errors.Newf("platform answered %d to a configuration read", resp.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, codec.MaxConfigBytes+1))
	if err != nil {
		return transport.PublishedConfig{}, errors.Wrap(err, "read configuration")
	}
	return transport.PublishedConfig{Tag: resp.Header.Get("Revision"), Value: value, Changed: true}, nil
}

// VMs returns the list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) (wire.VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	resp, err := c.get(ctx, "/v1/vms")
	if err != nil {
		return wire.VMList{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return wire.VMList{}, errors.Newf("platform answered %d to a list read", resp.StatusCode)
	}
	var list wire.VMList
	err = json.NewDecoder(io.LimitReader(resp.Body, codec.MaxConfigBytes)).Decode(&list)
	return list, errors.Wrap(err, "read list of VMs")
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := c.client.Do(req)
	return resp, errors.Wrap(err, "reach the platform")
}
