// Package audit compares what callers saw with what the upstreams counted, for the properties of docs/design.md.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Property is a property or bound of section 1.1 of docs/design.md.
type Property int

// The properties P1 to P10, then the further bounds.
const (
	OneSnapshot    Property = iota + 1 // P1: an answer comes from one snapshot
	TrueCoverage                       // P2: an answer states its coverage correctly
	ColdStart                          // P3: the cold-start limit is kept
	ZoneOut                            // P4: a drained zone receives no new work
	OwnAnswer                          // P5: a caller receives the whole answer to their own request
	NotRun                             // P6: "not run" is true
	AtMostOnce                         // P7: a non-idempotent request runs at most once
	Draining                           // P8: a draining upstream receives no new work
	Graceful                           // P9: a planned stop fails no accepted request
	InForce                            // P10: a configuration is in force in time and stays
	ConnectionsMax                     // the number of connections at one upstream
	PoisonMax                          // the number of upstreams that one poison request takes down
	Evidence                           // the counts are incomplete, so that a check cannot decide
)

// Propagation is the time after a publication from which it must be in force.
const Propagation = 3 * time.Second

// String returns P1 to P10 for the properties and a word for the rest.
func (p Property) String() string {
	switch p {
	case ConnectionsMax:
		return "connections"
	case PoisonMax:
		return "poison"
	case Evidence:
		return "evidence"
	default:
		return fmt.Sprintf("P%d", int(p))
	}
}

// Violation is one breach of a property.
type Violation struct {
	Property Property
	Subject  string // request, permit, VM or upstream
	Detail   string // one line
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.Property, v.Subject, v.Detail)
}

// RequestOf returns the request id to which the id of a start belongs. Sub-requests of a query are
// counted as REQUEST/SHARD, orders as REQUEST alone.
func RequestOf(id string) string {
	request, _, _ := strings.Cut(id, "/")
	return request
}

// Audit checks one history.
type Audit struct {
	history History
	starts  map[string][]Start // by RequestOf
}

// New prepares the checks of a history.
func New(h History) *Audit {
	a := &Audit{history: h, starts: map[string][]Start{}}
	for _, u := range h.Upstreams {
		for _, s := range u.Starts {
			r := RequestOf(s.Request)
			a.starts[r] = append(a.starts[r], s)
		}
	}
	return a
}

// All runs every check.
func (a *Audit) All() []Violation {
	return slices.Concat(
		a.CountsComplete(), a.Snapshots(), a.Coverage(), a.ColdLimits(), a.Outages(), a.Answers(), a.Refusals(),
		a.Permits(), a.Stops(), a.Revisions(), a.Publications(), a.ConnectionLimits(), a.Poison(),
	)
}

// CountsComplete reports upstreams whose lists were too short for the run; the other checks then see
// too few starts.
func (a *Audit) CountsComplete() []Violation {
	var out violations
	for _, u := range a.history.Upstreams {
		if u.Dropped > 0 {
			out.add(Evidence, u.Name, "%d entries of its lists were dropped", u.Dropped)
		}
	}
	return out
}

// violations collects what one check finds.
type violations []Violation

func (v *violations) add(p Property, subject, format string, args ...any) {
	*v = append(*v, Violation{p, subject, fmt.Sprintf(format, args...)})
}
