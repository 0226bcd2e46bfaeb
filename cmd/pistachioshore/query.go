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

// Exit statuses of query and order.
const (
	exitComplete = 0
	exitPartial  = 3
	exitRefused  = 4
	exitUnknown  = 5
)

// queryCommand holds the flags of a look-up.
type queryCommand struct {
	Entry    netip.AddrPort `required:"" help:"Address and port of an entry VM or of the balancer."`
	Route    string         `required:"" help:"Route of the configuration, for example breakdown-lookup."`
	Groups   []string       `help:"Groups of the route to search; all of them if absent."`
	Deadline time.Duration  `default:"0s" help:"Longest wait; the route's deadline if zero."`
	Kind     string         `help:"Kind of the records: part, job, batch or reject-mark."`
	Contains string         `help:"Text that the records contain."`
	Limit    int            `default:"10" help:"Most records to return."`
}

// Run sends the query and prints the answer.
func (c *queryCommand) Run(out output) error {
	req := wire.QueryRequest{
		Route: c.Route, Groups: c.Groups, Limit: c.Limit,
		Filter: &wire.Filter{Kind: c.Kind, Contains: c.Contains},
	}
	if c.Deadline > 0 {
		req.Deadline = c.Deadline.String()
	}
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode query")
	}
	client := &http.Client{Timeout: codec.MaxDeadline + time.Second}
	resp, err := client.Post("http://"+c.Entry.String()+"/v1/query", "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "send query")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return printRefusal(out, resp)
	}
	a, err := codec.DecodeJSON[wire.QueryAnswer](resp.Body, 16<<20)
	if err != nil {
		return err
	}
	return printAnswer(out, a)
}

func printAnswer(out output, a wire.QueryAnswer) error {
	total := len(a.Coverage.Covered) + len(a.Coverage.Missing)
	fmt.Fprintf(out, "result %d %s (%s), snapshot %d, configuration %d\n", a.Code, a.Result, a.Effect, a.Snapshot, a.Revision)
	fmt.Fprintf(out, "shards %d of %d covered, %d records matched\n", len(a.Coverage.Covered), total, a.Matched)
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(out, "missing %s [%s, %s): %d %s\n", m.Shard, m.From, m.To, m.Code, m.Reason)
	}
	for _, r := range a.Records {
		fmt.Fprintf(out, "%s\t%s\tschema %d\t%s%s\t%d\n", r.Key, r.Kind, r.Schema, r.Description, r.Model, r.Quantity)
	}
	if result.Code(a.Code) == result.Partial {
		return exitStatus(exitPartial)
	}
	return nil
}

func printRefusal(out output, resp *http.Response) error {
	v, err := codec.DecodeJSON[wire.Refusal](resp.Body, 1<<20)
	if err != nil {
		return errors.Wrapf(err, "entry VM answered %s", resp.Status)
	}
	fault := &result.Error{Code: result.Code(v.Code), Path: v.Path, Value: v.Value, Allowed: v.Allowed, Detail: v.Detail}
	fmt.Fprintf(out, "refused %s (%s)\n", fault, v.Effect)
	if fault.Code.Effect() == result.NotRun {
		return exitStatus(exitRefused)
	}
	return exitStatus(exitUnknown)
}
