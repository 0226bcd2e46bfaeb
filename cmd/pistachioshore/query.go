package main

import (
	"fmt"
	"net/netip"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// queryCommand holds the flags of the query command.
type queryCommand struct {
	Entry    netip.AddrPort `required:"" help:"Address and port of an entry VM or of the load balancer."`
	Route    string         `required:"" help:"Name of a configured route, for example breakdown-lookup."`
	Groups   []string       `help:"Groups of the route to search; all of them if not set."`
	Class    string         `help:"Priority class: normal or background; it can only lower the urgency of the route."`
	Deadline time.Duration  `default:"0s" help:"Deadline of the look-up; that of the route if zero."`
	Kind     string         `help:"Kind of record to return: part, job, batch or reject-mark."`
	KeyFrom  string         `help:"Start of the key range, inclusive."`
	KeyTo    string         `help:"End of the key range, exclusive."`
	Contains string         `help:"Text that the records must contain."`
	Limit    int            `default:"10" help:"Maximum number of records to return."`
	Report   string         `default:"text" enum:"text,json" help:"Output format: text or json."`
}

// Help returns the help text, which describes the output and the exit statuses.
func (c *queryCommand) Help() string {
	return `Sends a look-up to an entry VM and prints the answer: its result code, the snapshot that all shard
results come from, the number of shards covered, each missing shard with its key range and the reason,
and the records.

Examples:
  pistachioshore query --entry 127.0.0.1:20901 --route breakdown-lookup --contains pump --limit 3
  pistachioshore query --entry 127.0.0.1:20901 --route job-lookup --groups tournees --deadline 200ms --report json

Exit statuses: 0 complete, 1 VM unreachable or other error, 2 usage, 3 partial, 4 refused and not run,
5 outcome unknown, may have run. docs/result-codes.md lists the result codes.`
}

// Run sends the query and prints the answer. The exit status is 0 for a complete answer, 3 for a partial
// one, 4 if the query was refused and 5 if its outcome is unknown.
func (c *queryCommand) Run(out output) error {
	req := wire.QueryRequest{
		Route: c.Route, Groups: c.Groups, Class: c.Class, Limit: c.Limit,
		Filter: &wire.Filter{Kind: c.Kind, KeyFrom: c.KeyFrom, KeyTo: c.KeyTo, Contains: c.Contains},
	}
	if c.Deadline != 0 {
		req.Deadline = c.Deadline.String()
	}
	resp, err := newClient(c.Entry).post("/v1/query", req)
	if err != nil {
		return err
	}
	a, err := decodeResponse[wire.QueryAnswer](resp)
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
