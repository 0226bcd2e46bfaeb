package audit

import (
	"net/netip"
	"slices"
	"time"
)

// CheckRevisions checks that revisions never decrease (P10), neither at one VM nor across VMs: a request that is sent
// more than 3 s after any VM reported a revision must not see a lower one.
func (a *Checker) CheckRevisions() []Violation {
	seen := a.sightings()
	slices.SortFunc(seen, func(a, b RevisionObservation) int { return a.SentAt.Compare(b.SentAt) })
	ended := slices.SortedFunc(slices.Values(seen), func(a, b RevisionObservation) int { return a.ReturnedAt.Compare(b.ReturnedAt) })
	var out violations
	var everywhere RevisionObservation // the highest that was returned more than 3 s before o was sent
	atVM := map[netip.AddrPort]RevisionObservation{}
	i, j := 0, 0
	for _, s := range seen {
		for ; j < len(ended) && ended[j].ReturnedAt.Before(s.SentAt); j++ {
			if ended[j].Revision > atVM[ended[j].VM].Revision {
				atVM[ended[j].VM] = ended[j]
			}
		}
		for ; i < len(ended) && s.SentAt.Sub(ended[i].ReturnedAt) > PropagationTime; i++ {
			if ended[i].Revision > everywhere.Revision {
				everywhere = ended[i]
			}
		}
		if before := atVM[s.VM].Revision; s.Revision < before {
			out.add(ConfigPropagation, s.VM.String(), "reported revision %d after revision %d", s.Revision, before)
		} else if s.Revision < everywhere.Revision {
			out.add(ConfigPropagation, s.VM.String(), "reported revision %d, %v after %s had reported %d", s.Revision,
				s.SentAt.Sub(everywhere.ReturnedAt), everywhere.VM, everywhere.Revision)
		}
	}
	return out
}

// CheckPublications checks that every VM reports a published revision, or a higher one, after 3 s (P10).
func (a *Checker) CheckPublications() []Violation {
	var out violations
	for _, p := range a.history.Publications {
		for _, s := range a.sightings() {
			late := s.SentAt.Sub(p.At)
			if late > PropagationTime && s.Revision < p.Revision && !slices.Contains(p.UnreachableVMs, s.VM) {
				out.add(ConfigPropagation, s.VM.String(), "reported revision %d, %v after the publication of %d", s.Revision,
					late.Round(time.Millisecond), p.Revision)
			}
		}
	}
	return out
}

// revisionObservations returns the recorded observations and those taken from answers.
func (a *Checker) sightings() []RevisionObservation {
	all := slices.Clone(a.history.RevisionObservations)
	for _, q := range a.history.Queries {
		if q.Answer != nil {
			all = append(all, RevisionObservation{VM: q.VM, SentAt: q.SentAt, ReturnedAt: q.ReturnedAt, Revision: q.Answer.Revision})
		}
	}
	return all
}
