package main

import (
	"fmt"
	"net/netip"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// queryCommand holds the flags of a look-up.
type queryCommand struct {
	Entry    netip.AddrPort `required:"" help:"Address and port of an entry VM or of the load balancer."`
	Route    string         `required:"" help:"Route of the configuration, for example breakdown-lookup."`
	Groups   []string       `help:"Groups of the route to search; all of them if absent."`
	Class    string         `help:"Priority class, if less urgent than the route's: normal or background."`
	Deadline time.Duration  `default:"0s" help:"Longest wait; the route's deadline if zero."`
	Kind     string         `help:"Kind of the records: part, job, batch or reject-mark."`
	KeyFrom  string         `help:"First key, inclusive."`
	KeyTo    string         `help:"End of the keys, exclusive."`
	Contains string         `help:"Text that the records contain."`
	Limit    int            `default:"10" help:"Most records to return."`
	Report   string         `default:"text" enum:"text,json" help:"Form of the answer: text or json."`
}

// Help says what is printed and how it can be told from the exit status.
func (c *queryCommand) Help() string {
	return `Sends one look-up to an entry VM and prints the answer: its result code, the snapshot that all of it
comes from, the shards that it covers, each missing shard with key range and reason, and the records.

Examples:
  pistachioshore query --entry 127.0.0.1:20901 --route breakdown-lookup --contains pump --limit 3
  pistachioshore query --entry 127.0.0.1:20901 --route job-lookup --groups tournees --deadline 200ms --report json

Exit statuses: 0 complete, 1 the VM cannot be reached or another error, 2 usage, 3 partial, 4 refused and
not run, 5 unknown, may have run. docs/result-codes.md lists the codes.`
}

// Run sends the query and prints the answer; it ends with 0 complete, 3 partial, 4 refused or 5 unknown.
func (c *queryCommand) Run(out output) error {
	req := wire.QueryRequest{
		Route: c.Route, Groups: c.Groups, Class: c.Class, Limit: c.Limit,
		Filter: &wire.Filter{Kind: c.Kind, KeyFrom: c.KeyFrom, KeyTo: c.KeyTo, Contains: c.Contains},
	}
	if c.Deadline != 0 {
		req.Deadline = c.Deadline.String()
	}
	resp, err := newCaller(c.Entry).post("/v1/query", req)
	if err != nil {
		return err
	}
	a, err := read[wire.QueryAnswer](resp)
	if err != nil {
		return printRefusal(out, err)
	}
	if err := printAnswer(out, a, c.Report); err != nil {
		return err
	}
	if result.Code(a.Code) == result.Partial {
		return exitStatus(exitPartial)
	}
	return nil
}

func printAnswer(out output, a wire.QueryAnswer, report string) error {
	if report == "json" {
		return printJSON(out, a)
	}
	total := len(a.Coverage.Covered) + len(a.Coverage.Missing)
	fmt.Fprintf(out, "result %d %s (%s), snapshot %d, configuration %d\n", a.Code, a.Result, a.Effect, a.Snapshot, a.Revision)
	fmt.Fprintf(out, "shards %d of %d covered, %d records matched\n", len(a.Coverage.Covered), total, a.Matched)
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(out, "missing %s [%s, %s): %d %s\n", m.Shard, m.From, m.To, m.Code, m.Reason)
	}
	for _, r := range a.Records {
		fmt.Fprintf(out, "%s\t%s\tschema %d\t%s%s\t%d\n", r.Key, r.Kind, r.Schema, r.Description, r.Model, r.Quantity)
	}
	return nil
}
