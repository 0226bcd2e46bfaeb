package matrix

import (
	"fmt"
	"slices"
	"time"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/result"
)

// Properties that the matrix itself checks.
const (
	serviceProperty  = "service"  // the tier serves fully again after the faults
	deadlineProperty = "deadline" // a silent connection costs a request no more than its deadline
)

// Deadline of the slowest look-up route, with room for what a busy machine adds between the VM and the caller.
const (
	longestLookup = 600 * time.Millisecond
	callerSlack   = 400 * time.Millisecond
)

// Violation is one breach of a property.
type Violation struct {
	Property string `json:"property"`
	Subject  string `json:"subject"`
	Detail   string `json:"detail"`
}

// check compares what callers saw since a time with what the upstreams counted; the properties are
// those for which the cell had a case to check.
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

// cases tells which properties a history since a time can breach.
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

// overdue returns the look-ups that took longer than their deadline.
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

// properties returns the names of the violated properties.
func properties(list []Violation) []string {
	var names []string
	for _, v := range list {
		names = append(names, v.Property)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
