// Package story explains one request from the lines that VMs logged.
package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"pistachioshore.dev/event"
)

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Line is one line of a VM.
type Line struct {
	At     time.Time // by the VM's own clock, which may jump
	VM     string
	Seq    uint64 // counts the lines of the VM's process; it starts again with the process
	Event  string
	Fields map[string]string
	order  int // in which the line was read
}

// Read parses log lines and passes over everything else, such as a prefix that a collector adds.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			l.order = len(lines)
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read the lines")
}

// parse reads one line from its first field ts on.
func parse(text string) (Line, bool) {
	i := strings.Index(text, "ts=")
	if i < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	dec := logfmt.NewDecoder(strings.NewReader(text[i:]))
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			l.set(string(dec.Key()), string(dec.Value()))
		}
	}
	return l, dec.Err() == nil && l.VM != "" && l.Event != ""
}

func (l *Line) set(key, value string) {
	switch key {
	case "ts":
		if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
			l.At = at
		}
	case "vm":
		l.VM = value
	case "seq":
		if n, err := strconv.ParseUint(value, 10, 64); err == nil {
			l.Seq = n
		}
	case "event":
		l.Event = value
	default:
		l.Fields[key] = value
	}
}

// Explain writes the story of a request: its lines at each VM in the order in which they were logged,
// and before each of them what the VM had come to believe of the configuration, the upstreams, the
// zones and the store that the line rests on. It reports whether the request was found.
//
// Within a VM the order is that of the lines, because clocks may jump; VMs follow one another by the
// time of their first line about the request.
func Explain(w io.Writer, lines []Line, request string) (bool, error) {
	byVM := map[string][]Line{}
	for _, l := range lines {
		byVM[l.VM] = append(byVM[l.VM], l)
	}
	first := map[string]time.Time{}
	for vm, list := range byVM {
		for _, l := range list {
			if l.Fields[string(event.RequestID)] == request {
				first[vm] = l.At
				break
			}
		}
	}
	vms := slices.SortedFunc(maps.Keys(first), func(a, b string) int {
		return cmp.Or(first[a].Compare(first[b]), cmp.Compare(a, b))
	})
	for _, vm := range vms {
		if err := tell(w, vm, byVM[vm], request); err != nil {
			return true, err
		}
	}
	return len(vms) > 0, nil
}

// tell writes what one VM logged about the request.
func tell(w io.Writer, vm string, lines []Line, request string) error {
	if _, err := fmt.Fprintf(w, "%s\n", vm); err != nil {
		return err
	}
	b := newBeliefs()
	for _, l := range lines {
		if l.Fields[string(event.RequestID)] != request {
			b.learn(l)
			continue
		}
		for _, basis := range b.basis(l) {
			if _, err := fmt.Fprintf(w, "    because %s\n", basis); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %s\n", l); err != nil {
			return err
		}
	}
	return nil
}

// String returns the line without the VM's name, fields in order of their names.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s #%d %s", l.At.Format("15:04:05.000"), l.Seq, l.Event)
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		if key != string(event.RequestID) && l.Fields[key] != "" {
			fmt.Fprintf(&out, " %s=%s", key, l.Fields[key])
		}
	}
	return out.String()
}

// beliefs are the latest lines of a VM that its later decisions rest on.
type beliefs struct {
	config  *Line
	servers map[string]Line // by id
	zones   map[string]Line // by zone
	others  map[string]Line // by event: store, isolation, pauses
	told    map[string]bool
}

func newBeliefs() *beliefs {
	return &beliefs{servers: map[string]Line{}, zones: map[string]Line{}, others: map[string]Line{}, told: map[string]bool{}}
}

// learn takes a line that touches no request.
func (b *beliefs) learn(l Line) {
	switch l.Event {
	case event.ProcessStarted.String():
		*b = *newBeliefs() // a new process knows nothing
	case event.ConfigAccepted.String():
		b.config = &l
	case event.ServerChanged.String(), event.EntryRejected.String():
		b.servers[l.Fields[string(event.Server)]] = l
	case event.ZoneEvacuated.String():
		b.zones[l.Fields[string(event.Zone)]] = l
	case event.VMIsolated.String():
		b.others[l.Event] = l
		if l.Fields[string(event.State)] != "true" {
			delete(b.others, l.Event)
		}
	case event.StoreRecovered.String():
		delete(b.others, event.StoreLost.String())
	case event.StoreLost.String(), event.ProcessPaused.String(), event.ProcessStopping.String():
		b.others[l.Event] = l
	}
}

// basis returns the beliefs that a line about the request rests on and that were not told yet.
func (b *beliefs) basis(l Line) []string {
	var list []string
	add := func(basis Line) {
		if text := basis.String(); !b.told[text] {
			b.told[text] = true
			list = append(list, text)
		}
	}
	if b.config != nil {
		add(*b.config)
	}
	if s, ok := b.servers[l.Fields[string(event.Server)]]; ok {
		add(s)
		if z, ok := b.zones[s.Fields[string(event.Zone)]]; ok {
			add(z)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(b.others)) {
		add(b.others[key])
	}
	return list
}
