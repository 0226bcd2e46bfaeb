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
	OneSnapshot       Property = iota + 1 // P1: an answer comes from one snapshot
	AccurateCoverage                      // P2: an answer states its coverage correctly
	ColdStartLimit                        // P3: the cold-start limit is kept
	ZoneDrain                             // P4: a drained zone receives no new work
	CorrectAnswer                         // P5: a caller receives the whole answer to their own request
	RefusedNotRun                         // P6: "not run" is true
	AtMostOnce                            // P7: a non-idempotent request runs at most once
	UpstreamDrain                         // P8: a draining upstream receives no new work
	GracefulShutdown                      // P9: a planned stop fails no accepted request
	ConfigPropagation                     // P10: a configuration is in force in time and stays
	ConnectionLimit                       // the number of connections at one upstream
	PoisonCrashLimit                      // the number of upstreams that one poison request takes down
	IncompleteCounts                      // the counts are incomplete, so that a check cannot decide
)

// PropagationTime is the time after a publication from which it must be in force.
const PropagationTime = 3 * time.Second

// String returns P1 to P10 for the properties and a word for the rest.
func (p Property) String() string {
	switch p {
	case ConnectionLimit:
		return "connections"
	case PoisonCrashLimit:
		return "poison"
	case IncompleteCounts:
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

// BaseRequestID returns the request id to which the id of a start belongs. Sub-requests of a query are
// counted as REQUEST/SHARD, orders as REQUEST alone.
func BaseRequestID(id string) string {
	request, _, _ := strings.Cut(id, "/")
	return request
}

// Checker checks one history.
type Checker struct {
	history History
	starts  map[string][]Start // by RequestOf
}

// New prepares the checks of a history.
func New(h History) *Checker {
	a := &Checker{history: h, starts: map[string][]Start{}}
	for _, u := range h.Upstreams {
		for _, s := range u.Starts {
			r := BaseRequestID(s.RequestID)
			a.starts[r] = append(a.starts[r], s)
		}
	}
	return a
}

// CheckAll runs every check.
func (a *Checker) CheckAll() []Violation {
	return slices.Concat(
		a.CheckCounts(), a.CheckSnapshots(), a.CheckCoverage(), a.CheckColdStartLimits(), a.CheckDrains(), a.CheckAnswers(), a.CheckRefusals(),
		a.CheckPermits(), a.CheckShutdowns(), a.CheckRevisions(), a.CheckPublications(), a.CheckConnectionLimits(), a.CheckPoisonCrashes(),
	)
}

// CheckCounts reports upstreams whose lists were too short for the run; the other checks then see
// too few starts.
func (a *Checker) CheckCounts() []Violation {
	var out violations
	for _, u := range a.history.Upstreams {
		if u.DroppedEntries > 0 {
			out.add(IncompleteCounts, u.Name, "%d entries of its lists were dropped", u.DroppedEntries)
		}
	}
	return out
}

// violations collects what one check finds.
type violations []Violation

func (v *violations) add(p Property, subject, format string, args ...any) {
	*v = append(*v, Violation{p, subject, fmt.Sprintf(format, args...)})
}
