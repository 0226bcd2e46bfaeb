package main

import (
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// explainPlacementCommand holds the flags of the explain-placement command.
type explainPlacementCommand struct {
	Metrics netip.AddrPort `required:"" help:"Metrics address and port of a VM on the users' platform."`
	Host    string         `required:"" help:"Host of the request."`
	Path    string         `required:"" help:"Path of the request."`
	Method  string         `default:"GET" help:"Method of the request."`
	Body    int            `default:"0" help:"Size of the request's body in bytes."`
}

// Help returns the help text, which describes the columns of the output.
func (c *explainPlacementCommand) Help() string {
	return `Asks a VM on the users' platform where it would send a request now if it sent it itself. Nothing is
sent to the upstreams. In a large tier, queries over shards are forwarded to aggregators: ask those.

For each upstream: the share of attempts that it would get; its cost, which is the expected finish in multiples of
the expected work, with additions; its observed speed (1 is as expected, more is slower); the slowdown that it
reports; the work before it is free; the share of failures; the age of an attempt that is long overdue; the weights
of the slowdown and of the load that it reports; and why it gets no attempts.

Example:
  pistachioshore explain-placement --metrics 10.1.0.7:7380 --host pupu.example --path /look/7

Exit statuses: 0 printed, 1 VM unreachable, no such route or other error, 2 usage.`
}

// maxExplanationBytes bounds what is read of a VM's response.
const maxExplanationBytes = 4 << 20

// Run fetches and prints the explanation.
func (c *explainPlacementCommand) Run(out output) error {
	form := url.Values{"host": {c.Host}, "path": {c.Path}, "method": {c.Method}, "body": {strconv.Itoa(c.Body)}}
	resp, err := newClient(c.Metrics).httpClient.Get("http://" + c.Metrics.String() + "/placement?" + form.Encode())
	if err != nil {
		return errors.Wrap(err, "ask the VM")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return errors.Wrap(err, "read the explanation")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("VM returned status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	_, err = out.Write(body)
	return err
}
