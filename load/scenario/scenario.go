// Package scenario reads the files that describe a load run.
package scenario

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"pistachioshore.dev/wire"
)

// Format is the only version of the file format that is known.
const Format = 1

// Scenario is one load run; docs/measurements.md describes the fields of its file.
type Scenario struct {
	Format      int       `json:"format"`
	Name        string    `json:"name"`
	Firm        string    `json:"firm"`
	VMsPerZone  int       `json:"vms-per-zone"`
	Duration    Duration  `json:"duration"`
	ServiceTime Duration  `json:"service-time"`
	Spread      float64   `json:"spread"`
	QueueLimit  int       `json:"queue"`
	RestartTime Duration  `json:"restart-time"`
	Arrivals    []Arrival `json:"arrivals"`
	Events      []Event   `json:"events"`
	Phases      []Phase   `json:"phases"`
	Arms        []string  `json:"arms"`
}

// Arrival is the rate of one route's requests over time.
type Arrival struct {
	Route string `json:"route"`
	Rates []Rate `json:"rates"`
}

// Rate holds from a time of the run until the next rate of the route.
type Rate struct {
	From      Duration `json:"from"`
	PerSecond float64  `json:"per-second"`
}

// Event is something that happens at a time of the run.
type Event struct {
	At     Duration             `json:"at"`
	Action Action               `json:"action"`
	Target Target               `json:"target"`
	Faults *wire.UpstreamFaults `json:"faults"`
}

// Target selects upstreams; empty fields select all. Every takes only each Nth of them.
type Target struct {
	Zone     string `json:"zone"`
	Group    string `json:"group"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	EveryNth int    `json:"every"`
}

// Phase is a time of the run with figures of its own; a request belongs to the phase of its intended start.
type Phase struct {
	Name string   `json:"name"`
	From Duration `json:"from"`
	To   Duration `json:"to"`
}

// Action is what an event does.
type Action string

// The actions.
const (
	SetFaults       Action = "faults" // replaces the faults of the selected upstreams
	PublishSnapshot Action = "snapshot"
	DrainZone       Action = "zone-out"
	RestoreZone     Action = "zone-back"
	PlatformDown    Action = "platform-down"
	PlatformUp      Action = "platform-up"
	KillVM          Action = "kill-vm"
)

// Duration is a time span written as in "250ms".
type Duration time.Duration

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes the text form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// AsDuration returns the span.
func (d Duration) AsDuration() time.Duration {
	return time.Duration(d)
}

// Read reads and checks a file; an unknown field is an error.
func Read(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "read scenario")
	}
	s, err := Parse(raw)
	return s, errors.Wrapf(err, "scenario %s", path)
}

// Parse reads and checks the text of a file.
func Parse(raw []byte) (Scenario, error) {
	text, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "parse YAML")
	}
	var s Scenario
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Scenario{}, errors.Wrap(err, "decode")
	}
	return s, s.check()
}
