package platform

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/codec"
)

// TestScripts runs each block of testdata as one platform under fake time. The scripts guard against reads,
// watches or lists that ignore the faults, and against invalid input that changes the state.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := ""
			synctest.Test(t, func(*testing.T) { out = runScript(d.Input) })
			return out
		})
	})
}

// runScript runs one command or request per line. A request has a method, a path and a body; with the prefix & it
// is sent without waiting for its response.
func runScript(input string) string {
	var mu sync.Mutex
	lines := map[time.Duration][]string{}
	var closed atomic.Bool
	p := New([]byte("first"), WithReachable(func(*http.Request) bool { return !closed.Load() }))
	start, reads := time.Now(), ""
	call := func(line string) {
		text := send(p, line)
		mu.Lock()
		defer mu.Unlock()
		at := time.Since(start)
		lines[at] = append(lines[at], text)
	}
	var background sync.WaitGroup
	for line := range strings.Lines(input) {
		line = strings.TrimSpace(line)
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "&":
			background.Go(func() { call(rest) })
			synctest.Wait()
		case "wait":
			d, _ := time.ParseDuration(rest)
			time.Sleep(d)
			synctest.Wait()
		case "gate":
			closed.Store(rest == "closed")
		case "reads":
			reads = fmt.Sprintf("reads %d\n", p.ReadCount())
		default:
			call(line)
			synctest.Wait()
		}
	}
	background.Wait()
	out := ""
	for _, at := range slices.Sorted(maps.Keys(lines)) {
		slices.Sort(lines[at]) // the order of responses at one instant varies
		out += fmt.Sprintf("%v %s\n", at, strings.Join(lines[at], fmt.Sprintf("\n%v ", at)))
	}
	return out + reads
}

func send(p *Platform, line string) (text string) {
	words := strings.SplitN(line, " ", 3)
	body := strings.Join(words[2:], "")
	if body == "large" {
		body = strings.Repeat("x", codec.MaxConfigBytes+1)
	}
	defer func() {
		if recover() == http.ErrAbortHandler {
			text = words[1] + ": closed"
		}
	}()
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(words[0], words[1], strings.NewReader(body)))
	return strings.TrimSpace(fmt.Sprintf("%s: %d %s %s", words[1], w.Code, w.Header().Get("Revision"), strings.TrimSpace(w.Body.String())))
}
