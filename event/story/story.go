// Package story reconstructs what happened to a request from the log lines of VMs.
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

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Line is a log line of a VM.
type Line struct {
	At     time.Time // VM's wall clock, which may jump
	VM     string
	Seq    uint64            // sequence number of the line; it restarts with the VM's process
	Event  string            // name of the event's kind
	Fields map[string]string // values of the other fields by name
	order  int               // position in the input
}

// Read parses log lines. It skips other lines, and prefixes such as those that a log collector adds.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			l.order = len(lines)
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log lines")
}

// parse parses a line, starting at its ts field.
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

// Explain writes the history of a request: its log lines at each VM, and before each of them the latest events
// about the configuration, upstreams, zones and store that explain it. It reports whether the request was found.
//
// The lines of a VM keep the order in which they were logged, because clocks may jump. VMs are ordered by the
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
		if err := explainVM(w, vm, byVM[vm], request); err != nil {
			return true, err
		}
	}
	return len(vms) > 0, nil
}

// explainVM writes the lines of one VM about the request.
func explainVM(w io.Writer, vm string, lines []Line, request string) error {
	if _, err := fmt.Fprintf(w, "%s\n", vm); err != nil {
		return err
	}
	st := newVMState()
	for _, l := range lines {
		if l.Fields[string(event.RequestID)] != request {
			st.update(l)
			continue
		}
		for _, reason := range st.reasons(l) {
			if _, err := fmt.Fprintf(w, "    because %s\n", reason); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %s\n", l); err != nil {
			return err
		}
	}
	return nil
}

// String formats the line without the VM's name, its fields sorted by name.
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

// vmState holds the latest lines of a VM about the state that its decisions depend on.
type vmState struct {
	config     *Line
	servers    map[string]Line // by ID
	limits     map[string]Line // latest limit that an upstream named or lifted, by ID
	notices    map[string]Line // latest drain or rest that an upstream told, by ID
	zones      map[string]Line // by zone
	conditions map[string]Line // by event: store outage, isolation, pause, shutdown
	reported   map[string]bool
}

func newVMState() *vmState {
	return &vmState{servers: map[string]Line{}, notices: map[string]Line{}, limits: map[string]Line{}, zones: map[string]Line{}, conditions: map[string]Line{}, reported: map[string]bool{}}
}

// update records a line that does not belong to the request.
func (st *vmState) update(l Line) {
	switch l.Event {
	case event.ProcessStarted.String():
		*st = *newVMState() // a new process starts without state
	case event.ConfigAccepted.String():
		st.config = &l
	case event.ServerChanged.String(), event.EntryRejected.String():
		st.servers[l.Fields[string(event.Server)]] = l
	case event.UpstreamDraining.String(), event.UpstreamResting.String():
		st.notices[l.Fields[string(event.Server)]] = l
	case event.UpstreamLimited.String():
		st.limits[l.Fields[string(event.Server)]] = l
	case event.ZoneEvacuated.String():
		st.zones[l.Fields[string(event.Zone)]] = l
	case event.VMIsolated.String():
		st.conditions[l.Event] = l
		if l.Fields[string(event.State)] != "true" {
			delete(st.conditions, l.Event)
		}
	case event.StoreRecovered.String():
		delete(st.conditions, event.StoreLost.String())
	case event.StoreLost.String(), event.ProcessPaused.String(), event.ProcessStopping.String():
		st.conditions[l.Event] = l
	}
}

// reasons returns the recorded lines that explain a line about the request and have not been reported yet.
func (st *vmState) reasons(l Line) []string {
	var list []string
	add := func(reason Line) {
		if text := reason.String(); !st.reported[text] {
			st.reported[text] = true
			list = append(list, text)
		}
	}
	if st.config != nil {
		add(*st.config)
	}
	if server, ok := st.servers[l.Fields[string(event.Server)]]; ok {
		add(server)
		if zone, ok := st.zones[server.Fields[string(event.Zone)]]; ok {
			add(zone)
		}
	}
	if limit, ok := st.limits[l.Fields[string(event.Server)]]; ok {
		add(limit)
	}
	if notice, ok := st.notices[l.Fields[string(event.Server)]]; ok {
		add(notice)
	}
	for _, key := range slices.Sorted(maps.Keys(st.conditions)) {
		add(st.conditions[key])
	}
	return list
}
