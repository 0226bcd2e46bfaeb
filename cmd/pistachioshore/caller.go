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
	exitUsage   = 2
	exitPartial = 3
	exitRefused = 4
	exitUnknown = 5
)

// maxAnswerBytes limits the size of a response body.
const maxAnswerBytes = 16 << 20

// caller is an HTTP client of one entry VM, or of the load balancer in front of several.
type caller struct {
	base   string
	client *http.Client
}

func newCaller(address netip.AddrPort) *caller {
	return &caller{
		base:   "http://" + address.String(),
		client: &http.Client{Timeout: codec.MaxDeadline + time.Second},
	}
}

// post sends body as JSON. The caller must close the response body.
func (c *caller) post(path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	resp, err := c.client.Post(c.base+path, "application/json", bytes.NewReader(b))
	return resp, errors.Wrap(err, "send request")
}

// read decodes and closes a response. It returns an error response as a *result.Error.
func read[T any](resp *http.Response) (T, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return codec.DecodeJSON[T](resp.Body, maxAnswerBytes)
	}
	var none T
	v, err := codec.DecodeJSON[wire.Refusal](resp.Body, maxAnswerBytes)
	if err != nil {
		return none, errors.Wrapf(err, "entry VM responded with status %s", resp.Status)
	}
	return none, codec.FromWireRefusal(&v)
}

// printRefusal prints a *result.Error and returns the exit status that matches its effect. It returns
// any other error unchanged.
func printRefusal(out output, err error) error {
	var fault *result.Error
	if !errors.As(err, &fault) {
		return err
	}
	fmt.Fprintf(out, "refused %s (%s)\n", fault, fault.Code.Effect())
	if fault.Code.Effect() == result.NotRun {
		return exitStatus(exitRefused)
	}
	return exitStatus(exitUnknown)
}

// printJSON prints v as one JSON object.
func printJSON(out output, v any) error {
	return errors.Wrap(json.NewEncoder(out).Encode(v), "print report")
}
