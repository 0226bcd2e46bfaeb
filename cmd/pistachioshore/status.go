package main

import (
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/wire"
)

// statusCommand holds the flags of the status command.
type statusCommand struct {
	Entry  netip.AddrPort `required:"" help:"Address and port of an entry VM."`
	Report string         `default:"text" enum:"text,json" help:"Format of the report: text or json."`
}

// Help returns the help text, which describes the contents of the report.
func (c *statusCommand) Help() string {
	return `Prints the status of one entry VM: its readiness and shutdown phase (serving, draining and so on),
the current configuration with its digest and the time since it was last confirmed, the drained zones,
its peers with their state and the time since they were last heard from, the upstreams that it owns
with their state (cold or warm), limit and queue, and the hedge and retry budgets of the routes. Each
VM reports only its own view, so query several.

Examples:
  pistachioshore status --entry 127.0.0.1:20901
  pistachioshore status --entry 127.0.0.1:20901 --report json

Exit statuses: 0 printed, 1 VM unreachable or other error, 2 usage.
docs/OPERATIONS.md explains how to read the report.`
}

// Run fetches and prints the status of a VM.
func (c *statusCommand) Run(out output) error {
	entryClient := newClient(c.Entry)
	resp, err := entryClient.httpClient.Get(entryClient.baseURL + "/v1/status")
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	s, err := decodeResponse[wire.Status](resp)
	if err != nil {
		return err
	}
	if c.Report == "json" {
		return printJSON(out, s)
	}
	return printStatus(out, s)
}

func printStatus(out output, s wire.Status) error {
	fmt.Fprintf(out, "VM %s in %s, incarnation %d, ready %t, phase %s\n", s.Address, s.Zone, s.Incarnation, s.Ready, s.Phase)
	fmt.Fprintf(out, "configuration %d (%s), confirmed %s ago, snapshot %d, zones out: %s\n",
		s.Revision, s.Digest, s.ConfigAge, s.Snapshot, orNone(strings.Join(s.ZonesOut, ", ")))
	fmt.Fprintf(out, "in flight %d, permits %d, fingerprints quarantined %d\n\n", s.InFlight, s.Permits, s.Quarantined)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PEER\tZONE\tSTATE\tLAST HEARD\tINCARNATION")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", p.Address, p.Zone, p.State, p.Age, p.Incarnation)
	}
	fmt.Fprintln(w, "\nOWNED UPSTREAM\tSTATE\tRUNNING\tQUEUED\tCONNECTIONS\tVERIFIED\tINCARNATION")
	for _, u := range s.Upstreams {
		if u.Owned {
			fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%d\t%d\t%s\n",
				u.Upstream, warmState(u.Cold), u.Running, u.Limit, u.Queued, u.Connections, u.Verified, u.Incarnation)
		}
	}
	fmt.Fprintln(w, "\nROUTE\tHEDGE BUDGET\tRETRY BUDGET")
	for _, b := range s.Budgets {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\n", b.Route, b.Hedges, b.Retries)
	}
	return w.Flush()
}

func warmState(cold bool) string {
	if cold {
		return "cold"
	}
	return "warm"
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
