package audit

import (
	"net/netip"
	"slices"
	"time"
)

// CheckRevisions checks that revisions never decrease (P10), neither at one VM nor across VMs: a request that is sent
// more than 3 s after any VM reported a revision must not see a lower one.
func (c *Checker) CheckRevisions() []Violation {
	bySentAt := c.revisionObservations()
	slices.SortFunc(bySentAt, func(a, b RevisionObservation) int { return a.SentAt.Compare(b.SentAt) })
	byReturnedAt := slices.SortedFunc(slices.Values(bySentAt), func(a, b RevisionObservation) int { return a.ReturnedAt.Compare(b.ReturnedAt) })
	var out violations
	var highest RevisionObservation // the highest returned more than 3 s before the current one was sent
	highestAtVM := map[netip.AddrPort]RevisionObservation{}
	i, j := 0, 0
	for _, o := range bySentAt {
		for ; j < len(byReturnedAt) && byReturnedAt[j].ReturnedAt.Before(o.SentAt); j++ {
			if byReturnedAt[j].Revision > highestAtVM[byReturnedAt[j].VM].Revision {
				highestAtVM[byReturnedAt[j].VM] = byReturnedAt[j]
			}
		}
		for ; i < len(byReturnedAt) && o.SentAt.Sub(byReturnedAt[i].ReturnedAt) > PropagationTime; i++ {
			if byReturnedAt[i].Revision > highest.Revision {
				highest = byReturnedAt[i]
			}
		}
		if previous := highestAtVM[o.VM].Revision; o.Revision < previous {
			out.add(ConfigPropagation, o.VM.String(), "reported revision %d after revision %d", o.Revision, previous)
		} else if o.Revision < highest.Revision {
			out.add(ConfigPropagation, o.VM.String(), "reported revision %d, %v after %s had reported %d", o.Revision,
				o.SentAt.Sub(highest.ReturnedAt), highest.VM, highest.Revision)
		}
	}
	return out
}

// CheckPublications checks that every VM reports a published revision, or a higher one, after 3 s (P10).
func (c *Checker) CheckPublications() []Violation {
	var out violations
	for _, p := range c.history.Publications {
		for _, o := range c.revisionObservations() {
			delay := o.SentAt.Sub(p.At)
			if delay > PropagationTime && o.Revision < p.Revision && !slices.Contains(p.UnreachableVMs, o.VM) {
				out.add(ConfigPropagation, o.VM.String(), "reported revision %d, %v after the publication of %d", o.Revision,
					delay.Round(time.Millisecond), p.Revision)
			}
		}
	}
	return out
}

// revisionObservations returns the recorded observations and those taken from answers.
func (c *Checker) revisionObservations() []RevisionObservation {
	all := slices.Clone(c.history.RevisionObservations)
	for _, q := range c.history.Queries {
		if q.Answer != nil {
			all = append(all, RevisionObservation{VM: q.VM, SentAt: q.SentAt, ReturnedAt: q.ReturnedAt, Revision: q.Answer.Revision})
		}
	}
	return all
}
