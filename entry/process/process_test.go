package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/result"
	"pistachioshore.dev/telemetry"
	"pistachioshore.dev/wire"
)

// startProcess starts an entry VM on a free port and returns its address. Its platform is unreachable.
func startProcess(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	o := telemetry.DefaultOptions()
	o.VM, o.Zone = address, "brest-nord"
	p, err := New(Settings{
		VM:        vm.Settings{Address: address, Zone: "brest-nord", Incarnation: 1, Workers: 2},
		Platform:  netip.MustParseAddrPort("127.0.0.1:1"),
		Telemetry: o, LogOutput: io.Discard, Listener: l,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return address.String()
}

// TestSlowClients guards against clients that stall in the middle of a request. The server must close
// such a connection within its timeouts and keep serving other clients in the meantime.
func TestSlowClients(t *testing.T) {
	address := startProcess(t)
	const margin = 5 * time.Second
	for _, tc := range []struct {
		name   string
		sent   string
		within time.Duration
		status int // 0 if the server closes the connection without a response
	}{
		{"half a header", "POST /v1/query HTTP/1.1\r\nHost: x\r\n", readHeaderTimeout, 0},
		{"half a body", "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{", readTimeout, http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tc.sent); err != nil {
				t.Fatal(err)
			}
			wantLive(t, address)
			if err := c.SetReadDeadline(time.Now().Add(tc.within + margin)); err != nil {
				t.Fatal(err)
			}
			wantConnectionEnd(t, c, tc.status)
		})
	}
}

// wantConnectionEnd checks that the server sends the expected response, if any, and then closes the
// connection.
func wantConnectionEnd(t *testing.T, c net.Conn, status int) {
	t.Helper()
	r := bufio.NewReader(c)
	if status == 0 {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("got %v, want the end of the connection", err)
		}
		return
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	v, err := codec.DecodeJSON[wire.Refusal](resp.Body, 1<<16)
	if err != nil || resp.StatusCode != status || v.Code != int(result.Malformed) {
		t.Errorf("got %s with %+v, %v, want %d with code 200", resp.Status, v, err, status)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
}

func wantLive(t *testing.T, address string) {
	t.Helper()
	resp, err := http.Get("http://" + address + "/live")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("got %s, want 204 while another client is slow", resp.Status)
	}
}

// TestMetricsPage guards against renaming the metrics that docs/OPERATIONS.md lists for alerting.
func TestMetricsPage(t *testing.T) {
	address := startProcess(t)
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	page, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"pistachio_answers", "pistachio_refusals", "pistachio_configurations_refused", "pistachio_sub_requests",
		"pistachio_hedges", "pistachio_retries", "pistachio_parts_of_another_snapshot", "pistachio_suspected_crashes",
		"pistachio_ownership_changes", "pistachio_connections_replaced", "pistachio_platform_reads_failed",
		"pistachio_pauses", "pistachio_paused_milliseconds",
	} {
		if !strings.Contains(string(page), "\n"+name+"{") {
			t.Errorf("metrics page lacks %s", name)
		}
	}
}
