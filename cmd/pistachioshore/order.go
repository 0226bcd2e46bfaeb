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

// resendDelay is the wait before an order is sent again with its permit.
const resendDelay = 300 * time.Millisecond

// orderCommand holds the flags of an order.
type orderCommand struct {
	Entry     netip.AddrPort `required:"" help:"Address and port of an entry VM or of the load balancer."`
	Route     string         `required:"" help:"Non-idempotent route of the configuration, for example pump-order."`
	Operation string         `required:"" help:"Operation to run, for example place-order or reprint."`
	Key       string         `required:"" help:"What the operation applies to, for example a part or a certificate."`
	Quantity  int            `default:"1" help:"Quantity of an order."`
	Deadline  time.Duration  `default:"0s" help:"Longest wait for one try; the route's deadline if zero."`
	Tries     int            `default:"3" help:"Times that the order is sent with its permit while its outcome is unknown."`
	Report    string         `default:"text" enum:"text,json" help:"Form of the answer: text or json."`
}

// Help says why an order needs a permit and what its exit statuses allow.
func (c *orderCommand) Help() string {
	return `Gets a permit from an entry VM and sends an order with it. An order runs at most once for its permit:
while the outcome is unknown it is sent again with the same permit, which never runs it twice.
Running this command again takes a new permit, so do that only after exit status 4.

Examples:
  pistachioshore order --entry 127.0.0.1:20901 --route pump-order --operation place-order --key pump-17
  pistachioshore order --entry 127.0.0.1:20901 --route certificate-reprint --operation reprint --key cert-4 --report json

Exit statuses: 0 executed, 1 no permit because the VM cannot be reached or another error, 2 usage,
4 refused and not run, 5 unknown, may have run: look at the records before ordering again.
docs/result-codes.md lists the codes.`
}

// Run gets a permit, sends the order and prints the outcome; it ends with 0 done, 4 not run or 5 unknown.
func (c *orderCommand) Run(out output) error {
	caller := newCaller(c.Entry)
	resp, err := caller.post("/v1/permits", struct{}{})
	if err != nil {
		return err
	}
	permit, err := read[wire.Permit](resp)
	if err != nil {
		return printRefusal(out, err)
	}
	req := wire.OrderRequest{Route: c.Route, Operation: c.Operation, Key: c.Key, Quantity: c.Quantity, Permit: permit}
	if c.Deadline != 0 {
		req.Deadline = c.Deadline.String()
	}
	a, err := c.send(caller, req)
	if err != nil {
		return printRefusal(out, err)
	}
	if c.Report == "json" {
		return printJSON(out, a)
	}
	fmt.Fprintf(out, "result %d %s (%s), receipt %s\n", a.Code, a.Result, a.Effect, a.Receipt)
	return nil
}

// send sends the order, and again with the same permit while its outcome is unknown.
func (c *orderCommand) send(caller *caller, req wire.OrderRequest) (wire.OrderAnswer, error) {
	var a wire.OrderAnswer
	var err error
	for n := range max(c.Tries, 1) {
		if n > 0 {
			time.Sleep(resendDelay)
		}
		var resp *http.Response
		resp, err = caller.post("/v1/orders", req)
		if err != nil {
			err = errors.CombineErrors(result.New(result.OutcomeUnknown, err.Error()), err)
			continue
		}
		a, err = read[wire.OrderAnswer](resp)
		if err == nil || !unknown(err) {
			return a, err
		}
	}
	return a, err
}

// unknown reports whether an order may have run, so that sending it again with its permit can tell more.
func unknown(err error) bool {
	var fault *result.Error
	return errors.As(err, &fault) && fault.Code.Effect() == result.MayHaveRun
}
