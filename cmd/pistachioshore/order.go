package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// resendDelay is the delay before an order is sent again with the same permit.
const resendDelay = 300 * time.Millisecond

// orderCommand holds the flags of the order command.
type orderCommand struct {
	Entry     netip.AddrPort `required:"" help:"Address and port of an entry VM or of the load balancer."`
	Route     string         `required:"" help:"Name of a configured non-idempotent route, for example pump-order."`
	Operation string         `required:"" help:"Operation to run, for example place-order or reprint."`
	Key       string         `required:"" help:"Key of the record that the operation applies to, for example a part or a certificate."`
	Quantity  int            `default:"1" help:"Quantity to order."`
	Deadline  time.Duration  `default:"0s" help:"Deadline of each attempt; that of the route if zero."`
	Tries     int            `default:"3" help:"Maximum number of attempts with the same permit while the outcome is unknown."`
	Report    string         `default:"text" enum:"text,json" help:"Output format: text or json."`
}

// Help returns the help text, which explains why an order needs a permit and after which exit statuses it
// is safe to order again.
func (c *orderCommand) Help() string {
	return `Obtains a permit from an entry VM and sends an order with it. The permit ensures that the order runs at
most once: while the outcome is unknown, the command sends the order again with the same permit.
Running the command again uses a new permit, so do that only after exit status 4.

Examples:
  pistachioshore order --entry 127.0.0.1:20901 --route pump-order --operation place-order --key pump-17
  pistachioshore order --entry 127.0.0.1:20901 --route certificate-reprint --operation reprint --key cert-4 --report json

Exit statuses: 0 executed, 1 no permit because the VM is unreachable, or other error, 2 usage,
4 refused and not run, 5 outcome unknown, may have run: check the records before ordering again.
docs/result-codes.md lists the result codes.`
}

// Run obtains a permit, sends the order and prints the outcome. The exit status is 0 if the order ran, 4
// if it did not run and 5 if its outcome is unknown.
func (c *orderCommand) Run(out output) error {
	entryClient := newClient(c.Entry)
	resp, err := entryClient.post("/v1/permits", struct{}{})
	if err != nil {
		return err
	}
	permit, err := decodeResponse[wire.Permit](resp)
	if err != nil {
		return printRefusal(out, err)
	}
	req := wire.OrderRequest{Route: c.Route, Operation: c.Operation, Key: c.Key, Quantity: c.Quantity, Permit: permit}
	if c.Deadline != 0 {
		req.Deadline = c.Deadline.String()
	}
	a, err := c.sendWithRetries(entryClient, req)
	if err != nil {
		return printRefusal(out, err)
	}
	if c.Report == "json" {
		return printJSON(out, a)
	}
	fmt.Fprintf(out, "result %d %s (%s), receipt %s\n", a.Code, a.Result, a.Effect, a.Receipt)
	return nil
}

// sendWithRetries sends the order and retries it with the same permit while its outcome is unknown.
func (c *orderCommand) sendWithRetries(entryClient *client, req wire.OrderRequest) (wire.OrderAnswer, error) {
	var a wire.OrderAnswer
	var err error
	for n := range max(c.Tries, 1) {
		if n > 0 {
			time.Sleep(resendDelay)
		}
		var resp *http.Response
		resp, err = entryClient.post("/v1/orders", req)
		if err != nil {
			err = errors.CombineErrors(result.New(result.OutcomeUnknown, err.Error()), err)
			continue
		}
		a, err = decodeResponse[wire.OrderAnswer](resp)
		if err == nil || !mayHaveRun(err) {
			return a, err
		}
	}
	return a, err
}

// mayHaveRun reports whether the order may have run. If so, sending it again with the same permit may
// reveal its outcome.
func mayHaveRun(err error) bool {
	var codedErr *result.Error
	return errors.As(err, &codedErr) && codedErr.Code.Effect() == result.MayHaveRun
}
