// Command lab-3 runs the scripts of the third review. It starts the program of the deploy file as separate processes on
// loopback, beside stand-ins for the platform, the servers and the clients.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// host is the Host header of the clients' requests.
const host = "pupu.example"

// lab holds what one script has started.
type lab struct {
	dir     string // temporary folder for settings and logs
	trouble bool
	store   *store
	vms     []*vm
	servers []*server
	start   time.Time

	mu     sync.Mutex
	record *os.File
}

// logf writes a line to the record and to the standard output.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// note writes a line to the record only.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%7.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	for _, v := range l.vms {
		v.stop()
	}
	for _, s := range l.servers {
		s.close()
	}
	if l.store != nil {
		_ = l.store.server.Close()
	}
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// maxNotedRuns is the number of runs at servers up to which the record lists each.
const maxNotedRuns = 3000

// noteRuns writes to the record what the servers ran.
func (l *lab) noteRuns() {
	total := 0
	for _, s := range l.servers {
		total += len(s.executions())
	}
	for _, s := range l.servers {
		runs := s.executions()
		l.note("server %s of %s ran %d requests", s.id, s.service, len(runs))
		for _, e := range runs {
			if total <= maxNotedRuns {
				l.note("server %s ran %s %s of request %s at %.3f", s.id, e.method, e.target, e.id, e.at.Sub(l.start).Seconds())
			}
		}
	}
}

// routeEntry is a route of the operator's configuration.
type routeEntry struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Type        string   `json:"type"`
	TimeoutMs   int      `json:"timeoutMs"`
	TargetMs    int      `json:"targetLatencyMs"`
	MaxAttempts int      `json:"maxAttempts"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service,omitempty"`
	Gather      []string `json:"gather,omitempty"`
	TopK        int      `json:"topK,omitempty"`
	MinSuccess  float64  `json:"minSuccessRatio,omitempty"`
}

// publish writes a configuration with the routes. bodyBytes is the largest body that clients may send.
func (l *lab) publish(version, bodyBytes, maxConns int, routes ...routeEntry) {
	services := []map[string]any{}
	known := map[string]bool{}
	for i := range routes {
		r := &routes[i]
		r.Host, r.Prefix = host, "/"+r.Name+"/"
		for _, name := range append(append([]string{}, r.Gather...), r.Service) {
			if name == "" || known[name] {
				continue
			}
			known[name] = true
			services = append(services, map[string]any{
				"name": name, "healthPath": "/health", "maxConnections": maxConns, "warmupS": 0, "warmupPerS": 0,
			})
		}
	}
	b, _ := json.Marshal(map[string]any{ // cannot fail
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	})
	l.store.put("op/config", b)
}

func main() {
	cases := map[string]func(l *lab) (int, error){
		"odd-entry": oddEntry, "large-bodies": largeBodies, "burst": burst, "leave": leave,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(script func(l *lab) (int, error), path string) int {
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if l.record, err = os.Create(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if l.dir, err = os.MkdirTemp("", "lab-3-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(failed)
	}()
	if l.store, err = newStore(); err != nil {
		l.logf("cannot run: %v", err)
		return failed
	}
	l.logf("disruption: %t", l.trouble)
	status, err := script(l)
	if err != nil {
		l.logf("cannot run: %v", err)
		return failed
	}
	l.noteRuns()
	l.logf("exit status %d", status)
	return status
}
