package http1

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTruncated guards against a response that breaks off at any byte and passes as a complete one. A response without a
// length is complete once its head is, because it ends with its connection, unless that is reset.
func TestTruncated(t *testing.T) {
	datadriven.RunTest(t, "testdata/truncated.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, end := range []string{"close", "reset"} {
			response := unescape(strings.TrimSpace(d.Input))
			first := len(response) + 1
			for n := range len(response) {
				if completeAfter(t, response[:n], end) && n < first {
					first = n
				}
			}
			switch {
			case first <= len(response):
				fmt.Fprintf(&out, "%s: complete without %s\n", end, quoteRest(response[first:]))
			case end == "reset": // a reset may overtake the last bytes
				fmt.Fprintf(&out, "%s: not complete before its end\n", end)
			default:
				fmt.Fprintf(&out, "%s: complete at its end %t, not before\n", end, completeAfter(t, response, end))
			}
		}
		return out.String()
	})
}

// quoteRest formats the part of a response that was not sent.
func quoteRest(s string) string {
	return strings.NewReplacer("\r", `\r`, "\n", `\n`).Replace(s)
}

// completeAfter reports whether a call has a response after the upstream has sent the given bytes and ended the connection.
func completeAfter(t *testing.T, sent, end string) bool {
	u := newScriptedUpstream(t, [][]string{{"read", quoteRest(sent), end}})
	defer u.close()
	p := New(nil)
	defer p.Close()
	done := make(chan Failure, 1)
	address := netip.MustParseAddrPort(u.listener.Addr().String())
	p.Start(address, 1, &Call{Method: "GET", Target: "/", Host: "h"}, func(_ Response, f Failure) { done <- f })
	return <-done == NoFailure
}
