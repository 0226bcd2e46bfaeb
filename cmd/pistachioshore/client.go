package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Exit statuses other than 0 (success) and 1 (any other error).
const (
	exitUsage   = 2 // invalid command line
	exitPartial = 3 // partial answer
	exitRefused = 4 // refused request, which has not run, or invalid configuration file
	exitUnknown = 5 // outcome not known; the request may have run
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 16 << 20

// client is an HTTP client of one entry VM, or of the load balancer in front of several.
type client struct {
	baseURL    string
	httpClient *http.Client
}

func newClient(address netip.AddrPort) *client {
	return &client{
		baseURL:    "http://" + address.String(),
		httpClient: &http.Client{Timeout: codec.MaxDeadline + time.Second},
	}
}

// post sends body as JSON. The caller must close the response body.
func (c *client) post(path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	resp, err := c.httpClient.Post(c.baseURL+path, "application/json", bytes.NewReader(b))
	return resp, errors.Wrap(err, "send request")
}

// decodeResponse decodes and closes a response. It returns an error response as a *result.Error.
func decodeResponse[T any](resp *http.Response) (T, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return codec.DecodeJSON[T](resp.Body, maxResponseBytes)
	}
	var zero T
	refusal, err := codec.DecodeJSON[wire.Refusal](resp.Body, maxResponseBytes)
	if err != nil {
		return zero, errors.Wrapf(err, "entry VM responded with status %s", resp.Status)
	}
	return zero, codec.FromWireRefusal(&refusal)
}

// printRefusal prints a *result.Error and returns the exit status that matches its effect. It returns
// any other error unchanged.
func printRefusal(out output, err error) error {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		return err
	}
	fmt.Fprintf(out, "refused %s (%s)\n", refusal, refusal.Code.Effect())
	if refusal.Code.Effect() == result.NotRun {
		return exitStatus(exitRefused)
	}
	return exitStatus(exitUnknown)
}

// printJSON prints v as one JSON object.
func printJSON(out output, v any) error {
	return errors.Wrap(json.NewEncoder(out).Encode(v), "print report")
}
