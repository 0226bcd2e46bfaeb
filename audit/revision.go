package audit

import (
	"net/netip"
	"slices"
	"time"
)

// Revisions checks that revisions never decrease (P10): not at one VM, and not from one VM to any other
// for a caller that asks later than 3 s after it saw the higher one.
func (a *Audit) Revisions() []Violation {
	seen := a.sightings()
	slices.SortFunc(seen, func(a, b Sighting) int { return a.Sent.Compare(b.Sent) })
	ended := slices.SortedFunc(slices.Values(seen), func(a, b Sighting) int { return a.Returned.Compare(b.Returned) })
	var out violations
	var everywhere Sighting // the highest that ended at least 3 s before the present one was sent
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
			out.add(InForce, s.VM.String(), "showed revision %d after revision %d", s.Revision, before)
		} else if s.Revision < everywhere.Revision {
			out.add(InForce, s.VM.String(), "showed revision %d, %v after %s had shown %d", s.Revision,
				s.Sent.Sub(everywhere.Returned), everywhere.VM, everywhere.Revision)
		}
	}
	return out
}

// Publications checks that a published revision is in force everywhere after 3 s (P10).
func (a *Audit) Publications() []Violation {
	var out violations
	for _, p := range a.history.Publications {
		for _, s := range a.sightings() {
			late := s.Sent.Sub(p.At)
			if late > Propagation && s.Revision < p.Revision && !slices.Contains(p.Except, s.VM) {
				out.add(InForce, s.VM.String(), "showed revision %d, %v after the publication of %d", s.Revision,
					late.Round(time.Millisecond), p.Revision)
			}
		}
	}
	return out
}

// sightings returns the recorded sightings and those in answers.
func (a *Audit) sightings() []Sighting {
	all := slices.Clone(a.history.Sightings)
	for _, q := range a.history.Queries {
		if q.Answer != nil {
			all = append(all, Sighting{VM: q.VM, Sent: q.Sent, Returned: q.Returned, Revision: q.Answer.Revision})
		}
	}
	return all
}
