// Package audit checks the properties of docs/design.md: it compares the answers that callers received with what the
// upstreams counted.
package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Property is a property or limit of section 1.1 of docs/design.md.
type Property int

// The properties P1 to P10, followed by the limits.
const (
	OneSnapshot       Property = iota + 1 // P1: an answer comes from a single snapshot
	AccurateCoverage                      // P2: an answer states its coverage correctly
	ColdStartLimit                        // P3: a cold upstream stays within its cold-start limit
	ZoneDrain                             // P4: a drained zone receives no new work
	CorrectAnswer                         // P5: a caller receives the whole answer to its own request
	RefusedNotRun                         // P6: a request that is refused as "not run" was not started
	AtMostOnce                            // P7: a non-idempotent request runs at most once
	UpstreamDrain                         // P8: a draining upstream receives no new work
	GracefulShutdown                      // P9: a planned shutdown fails no accepted request
	ConfigPropagation                     // P10: a published revision reaches every VM in time and never decreases
	ConnectionLimit                       // the number of connections to one upstream
	PoisonCrashLimit                      // the number of upstreams that one poison request crashes
	Inconclusive                          // a check could not decide, for example because counts are incomplete
)

// PropagationTime is the time within which a published configuration must take effect on every VM.
const PropagationTime = 3 * time.Second

// String returns P1 to P10 for the properties and a word for each limit and for Inconclusive.
func (p Property) String() string {
	switch p {
	case ConnectionLimit:
		return "connections"
	case PoisonCrashLimit:
		return "poison"
	case Inconclusive:
		return "evidence"
	default:
		return fmt.Sprintf("P%d", int(p))
	}
}

// Violation is a violation of a property.
type Violation struct {
	Property Property
	Subject  string // request, permit, VM or upstream
	Detail   string // one line
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.Property, v.Subject, v.Detail)
}

// BaseRequestID returns the ID of the request to which a start belongs. Upstreams count a sub-request of a query as
// REQUEST/SHARD and an order as REQUEST.
func BaseRequestID(id string) string {
	request, _, _ := strings.Cut(id, "/")
	return request
}

// Checker checks one history.
type Checker struct {
	history History
	starts  map[string][]Start // by BaseRequestID
}

// New returns a checker of a history.
func New(h History) *Checker {
	c := &Checker{history: h, starts: map[string][]Start{}}
	for _, u := range h.Upstreams {
		for _, s := range u.Starts {
			id := BaseRequestID(s.RequestID)
			c.starts[id] = append(c.starts[id], s)
		}
	}
	return c
}

// CheckAll runs all checks.
func (c *Checker) CheckAll() []Violation {
	return slices.Concat(
		c.CheckCounts(), c.CheckSnapshots(), c.CheckCoverage(), c.CheckColdStartLimits(), c.CheckDrains(),
		c.CheckAnswers(), c.CheckRefusals(), c.CheckPermits(), c.CheckShutdowns(), c.CheckRevisions(),
		c.CheckPublications(), c.CheckConnectionLimits(), c.CheckPoisonCrashes(),
	)
}

// CheckCounts reports the upstreams whose lists reached their length limit. The other checks then see too few starts.
func (c *Checker) CheckCounts() []Violation {
	var out violations
	for _, u := range c.history.Upstreams {
		if u.DroppedEntries > 0 {
			out.add(Inconclusive, u.Name, "%d list entries were dropped", u.DroppedEntries)
		}
	}
	return out
}

// violations collects the violations that one check finds.
type violations []Violation

func (v *violations) add(p Property, subject, format string, args ...any) {
	*v = append(*v, Violation{p, subject, fmt.Sprintf(format, args...)})
}
