package matrix

import (
	"fmt"
	"slices"
	"time"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/result"
)

// Properties that the matrix checks in addition to those of package audit.
const (
	serviceProperty  = "service"  // the tier serves all requests again after the faults
	deadlineProperty = "deadline" // a silent connection delays a request at most until its deadline
)

// Longest deadline of the look-up routes, and the time that a busy machine may add between the VM and the caller.
const (
	longestLookup = 600 * time.Millisecond
	callerSlack   = 400 * time.Millisecond
)

// Violation is a violation of a property.
type Violation struct {
	Property string `json:"property"`
	Subject  string `json:"subject"`
	Detail   string `json:"detail"`
}

// check returns the violations in the history, the properties that the history since the given time could violate, and
// the number of requests since then.
func (c *cell) check(since time.Time) (found []Violation, properties []string, requests int) {
	violations, h := c.tier.Violations()
	for _, v := range violations {
		found = append(found, Violation{v.Property.String(), v.Subject, v.Detail})
	}
	if c.checkDeadlines && len(c.acts) == 1 {
		found = append(found, overdue(h, since)...)
		properties = append(properties, deadlineProperty)
	}
	seen := cases(h, since)
	for p := audit.OneSnapshot; p <= audit.PoisonCrashLimit; p++ {
		if seen[p] {
			properties = append(properties, p.String())
		}
	}
	requests = count(h.Queries, func(q audit.Query) bool { return q.SentAt.After(since) }) +
		count(h.Orders, func(o audit.Order) bool { return o.SentAt.After(since) })
	return found, append(properties, serviceProperty), requests
}

// exercised returns the properties that the history since the given time could violate.
func cases(h audit.History, since time.Time) map[audit.Property]bool {
	seen := map[audit.Property]bool{audit.ConnectionLimit: true}
	for _, q := range h.Queries {
		if q.SentAt.Before(since) {
			continue
		}
		seen[audit.RefusedNotRun] = seen[audit.RefusedNotRun] || notRun(q.Code)
		if q.Answer != nil {
			seen[audit.OneSnapshot], seen[audit.AccurateCoverage], seen[audit.CorrectAnswer] = true, true, true
		}
	}
	for _, o := range h.Orders {
		if o.SentAt.After(since) {
			seen[audit.AtMostOnce] = true
			seen[audit.RefusedNotRun] = seen[audit.RefusedNotRun] || notRun(o.Code)
		}
	}
	for _, o := range h.Drains {
		seen[o.Property] = seen[o.Property] || o.To.After(since)
	}
	for _, s := range h.PlannedShutdowns {
		seen[audit.GracefulShutdown] = seen[audit.GracefulShutdown] || s.To.After(since)
	}
	for _, s := range h.RevisionObservations {
		seen[audit.ConfigPropagation] = seen[audit.ConfigPropagation] || s.SentAt.After(since)
	}
	for _, u := range h.Upstreams {
		for _, s := range u.Starts {
			seen[audit.ColdStartLimit] = seen[audit.ColdStartLimit] || (s.Cold && s.At.After(since))
		}
		for _, r := range u.PoisonCrashes {
			seen[audit.PoisonCrashLimit] = seen[audit.PoisonCrashLimit] || r.At.After(since)
		}
	}
	return seen
}

func notRun(c result.Code) bool {
	return c != 0 && c.Effect() == result.NotRun
}

// overdueLookups returns a violation for each look-up that took longer than the deadline allows.
func overdue(h audit.History, since time.Time) []Violation {
	var out []Violation
	for _, q := range h.Queries {
		if took := q.ReturnedAt.Sub(q.SentAt); q.SentAt.After(since) && took > longestLookup+callerSlack {
			out = append(out, Violation{deadlineProperty, q.RequestID, fmt.Sprintf("the look-up of %s took %v", q.Caller, took)})
		}
	}
	return out
}

func count[T any](list []T, is func(T) bool) int {
	n := 0
	for _, x := range list {
		if is(x) {
			n++
		}
	}
	return n
}

// violatedProperties returns the sorted names of the violated properties.
func properties(list []Violation) []string {
	var names []string
	for _, v := range list {
		names = append(names, v.Property)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
