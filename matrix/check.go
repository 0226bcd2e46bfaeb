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

// Limits on the latency of a look-up: the longest deadline of the look-up routes, and the time that a busy host may add
// between the VM and the caller.
const (
	maxLookupDeadline = 600 * time.Millisecond
	callerMargin      = 400 * time.Millisecond
)

// Violation is a violation of a property.
type Violation struct {
	Property string `json:"property"`
	Subject  string `json:"subject"`
	Detail   string `json:"detail"`
}

// check returns the violations in the history, the properties that the history since the given time could violate, and
// the number of requests since then.
func (c *cellRun) check(since time.Time) (violations []Violation, properties []string, requests int) {
	auditViolations, h := c.tier.Violations()
	for _, v := range auditViolations {
		violations = append(violations, Violation{v.Property.String(), v.Subject, v.Detail})
	}
	if c.checkDeadlines && len(c.injectors) == 1 {
		violations = append(violations, overdueLookups(h, since)...)
		properties = append(properties, deadlineProperty)
	}
	exercised := exercisedProperties(h, since)
	for p := audit.OneSnapshot; p <= audit.PoisonCrashLimit; p++ {
		if exercised[p] {
			properties = append(properties, p.String())
		}
	}
	requests = count(h.Queries, func(q audit.Query) bool { return q.SentAt.After(since) }) +
		count(h.Orders, func(o audit.Order) bool { return o.SentAt.After(since) })
	return violations, append(properties, serviceProperty), requests
}

// exercisedProperties returns the properties that the history since the given time could violate.
func exercisedProperties(h audit.History, since time.Time) map[audit.Property]bool {
	properties := map[audit.Property]bool{audit.ConnectionLimit: true}
	for _, q := range h.Queries {
		if q.SentAt.Before(since) {
			continue
		}
		properties[audit.RefusedNotRun] = properties[audit.RefusedNotRun] || notRun(q.Code)
		if q.Answer != nil {
			properties[audit.OneSnapshot], properties[audit.AccurateCoverage], properties[audit.CorrectAnswer] = true, true, true
		}
	}
	for _, o := range h.Orders {
		if o.SentAt.After(since) {
			properties[audit.AtMostOnce] = true
			properties[audit.RefusedNotRun] = properties[audit.RefusedNotRun] || notRun(o.Code)
		}
	}
	for _, d := range h.Drains {
		properties[d.Property] = properties[d.Property] || d.To.After(since)
	}
	for _, s := range h.PlannedShutdowns {
		properties[audit.GracefulShutdown] = properties[audit.GracefulShutdown] || s.To.After(since)
	}
	for _, o := range h.RevisionObservations {
		properties[audit.ConfigPropagation] = properties[audit.ConfigPropagation] || o.SentAt.After(since)
	}
	for _, u := range h.Upstreams {
		for _, s := range u.Starts {
			properties[audit.ColdStartLimit] = properties[audit.ColdStartLimit] || (s.Cold && s.At.After(since))
		}
		for _, c := range u.PoisonCrashes {
			properties[audit.PoisonCrashLimit] = properties[audit.PoisonCrashLimit] || c.At.After(since)
		}
	}
	return properties
}

func notRun(c result.Code) bool {
	return c != 0 && c.Effect() == result.NotRun
}

// overdueLookups returns a violation for each look-up that took longer than the deadline allows.
func overdueLookups(h audit.History, since time.Time) []Violation {
	var out []Violation
	for _, q := range h.Queries {
		if elapsed := q.ReturnedAt.Sub(q.SentAt); q.SentAt.After(since) && elapsed > maxLookupDeadline+callerMargin {
			out = append(out, Violation{deadlineProperty, q.RequestID, fmt.Sprintf("the look-up of %s took %v", q.Caller, elapsed)})
		}
	}
	return out
}

func count[T any](list []T, matches func(T) bool) int {
	n := 0
	for _, x := range list {
		if matches(x) {
			n++
		}
	}
	return n
}

// violatedProperties returns the sorted names of the violated properties.
func violatedProperties(violations []Violation) []string {
	var names []string
	for _, v := range violations {
		names = append(names, v.Property)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
