// Package scenario parses and validates scenario files, which describe load runs, and generates their arrivals.
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

// Format is the supported version of the file format.
const Format = 1

// Scenario describes a load run; docs/measurements.md documents its fields.
type Scenario struct {
	Format      int       `json:"format"`
	Name        string    `json:"name"`
	Firm        string    `json:"firm"`
	VMsPerZone  int       `json:"vms-per-zone"`
	Duration    Duration  `json:"duration"`
	ServiceTime Duration  `json:"service-time"`
	Spread      float64   `json:"spread"`       // standard deviation of the logarithm of the service time
	QueueLimit  int       `json:"queue"`        // requests that can wait at an upstream
	RestartTime Duration  `json:"restart-time"` // time that an upstream refuses connections after a crash
	Arrivals    []Arrival `json:"arrivals"`
	Events      []Event   `json:"events"`
	Phases      []Phase   `json:"phases"`
	Arms        []string  `json:"arms"`
}

// Arrival defines the request rate of one route over time.
type Arrival struct {
	Route string `json:"route"`
	Rates []Rate `json:"rates"`
}

// Rate is a request rate that applies from a time of the run until the next rate of the route begins.
type Rate struct {
	From      Duration `json:"from"`
	PerSecond float64  `json:"per-second"`
}

// Event is an action at a time of the run.
type Event struct {
	At     Duration             `json:"at"`
	Action Action               `json:"action"`
	Target Target               `json:"target"`
	Faults *wire.UpstreamFaults `json:"faults"`
}

// Target selects upstreams. Empty fields match all of them; EveryNth selects each Nth of the matching ones.
type Target struct {
	Zone     string `json:"zone"`
	Group    string `json:"group"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	EveryNth int    `json:"every"`
}

// Phase is a period of the run with separate stats. A request belongs to the phase of its intended start.
type Phase struct {
	Name string   `json:"name"`
	From Duration `json:"from"`
	To   Duration `json:"to"`
}

// Action names what an event does.
type Action string

// Actions of an event.
const (
	SetFaults       Action = "faults" // replaces the faults of the selected upstreams
	PublishSnapshot Action = "snapshot"
	DrainZone       Action = "zone-out"
	RestoreZone     Action = "zone-back"
	PlatformDown    Action = "platform-down"
	PlatformUp      Action = "platform-up"
	KillVM          Action = "kill-vm"
)

// Duration is a time.Duration with a text form such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration {
	return time.Duration(d)
}

// Read reads a scenario file and parses it as Parse does.
func Read(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "read scenario")
	}
	s, err := Parse(raw)
	return s, errors.Wrapf(err, "scenario %s", path)
}

// Parse decodes and validates a scenario in YAML. An unknown field is an error.
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
	return s, s.validate()
}
