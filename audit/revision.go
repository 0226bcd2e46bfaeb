package audit

import (
	"net/netip"
	"slices"
	"time"
)

// CheckRevisions checks that revisions never decrease (P10), neither at one VM nor across VMs: a request that is sent
// more than 3 s after any VM reported a revision must not see a lower one.
func (a *Audit) Revisions() []Violation {
	seen := a.sightings()
	slices.SortFunc(seen, func(a, b Sighting) int { return a.Sent.Compare(b.Sent) })
	ended := slices.SortedFunc(slices.Values(seen), func(a, b Sighting) int { return a.Returned.Compare(b.Returned) })
	var out violations
	var everywhere Sighting // the highest that was returned more than 3 s before o was sent
	atVM := map[netip.AddrPort]Sighting{}
	i, j := 0, 0
	for _, s := range seen {
		for ; j < len(ended) && ended[j].Returned.Before(s.Sent); j++ {
			if ended[j].Revision > atVM[ended[j].VM].Revision {
				atVM[ended[j].VM] = ended[j]
			}
		}
		for ; i < len(ended) && s.Sent.Sub(ended[i].Returned) > Propagation; i++ {
			if ended[i].Revision > everywhere.Revision {
				everywhere = ended[i]
			}
		}
		if before := atVM[s.VM].Revision; s.Revision < before {
			out.add(InForce, s.VM.String(), "reported revision %d after revision %d", s.Revision, before)
		} else if s.Revision < everywhere.Revision {
			out.add(InForce, s.VM.String(), "reported revision %d, %v after %s had reported %d", s.Revision,
				s.Sent.Sub(everywhere.Returned), everywhere.VM, everywhere.Revision)
		}
	}
	return out
}

// CheckPublications checks that every VM reports a published revision, or a higher one, after 3 s (P10).
func (a *Audit) Publications() []Violation {
	var out violations
	for _, p := range a.history.Publications {
		for _, s := range a.sightings() {
			late := s.Sent.Sub(p.At)
			if late > Propagation && s.Revision < p.Revision && !slices.Contains(p.Except, s.VM) {
				out.add(InForce, s.VM.String(), "reported revision %d, %v after the publication of %d", s.Revision,
					late.Round(time.Millisecond), p.Revision)
			}
		}
	}
	return out
}

// revisionObservations returns the recorded observations and those taken from answers.
func (a *Audit) sightings() []Sighting {
	all := slices.Clone(a.history.Sightings)
	for _, q := range a.history.Queries {
		if q.Answer != nil {
			all = append(all, Sighting{VM: q.VM, Sent: q.Sent, Returned: q.Returned, Revision: q.Answer.Revision})
		}
	}
	return all
}
