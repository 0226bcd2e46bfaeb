package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

func (v *view) owns(upstream string) bool {
	_, ok := v.owned[upstream]
	return ok && !v.leaving
}

// assign recomputes the owners of a zone's upstreams.
func (v *view) assign(now time.Time, zone string) {
	members := v.members(zone)
	for _, name := range v.upstreams[zone] {
		owner := highest(members, []byte(name))
		v.owners[name] = owner
		if zone == v.self.Zone {
			v.follow(now, name, owner)
		}
	}
}

// members returns the VMs of a zone that can own upstreams.
func (v *view) members(zone string) []candidate {
	var members []candidate
	if v.isMember && zone == v.self.Zone {
		members = append(members, candidate{v.self.Address, v.term})
	}
	for _, p := range v.peers {
		if p.member && p.zone == zone {
			members = append(members, candidate{p.address, p.term})
		}
	}
	return members
}

// follow begins to wait for an upstream that fell to this VM, or gives up one that fell to another.
func (v *view) follow(now time.Time, name string, owner candidate) {
	_, owned := v.owned[name]
	_, waiting := v.waiting[name]
	switch {
	case owner.address != v.self.Address:
		delete(v.waiting, name)
		if owned {
			v.lose(name, owner)
		}
	case !owned && !waiting:
		v.waiting[name] = now
	}
}

// lose gives up ownership in favour of a VM, or of nobody.
func (v *view) lose(name string, to candidate) {
	delete(v.owned, name)
	if i := slices.Index(v.changes.Acquired, name); i >= 0 {
		// The caller has not seen the acquisition, so that there is nothing to hand over.
		v.changes.Acquired = slices.Delete(v.changes.Acquired, i, i+1)
		return
	}
	v.changes.Lost = append(v.changes.Lost, LostUpstream{Upstream: name, Successor: to.address, Term: to.term})
}

// grant is a handover that was not used yet.
type grant struct {
	from netip.AddrPort
	term uint64
}

// handover keeps the sender's word that it no longer owns the upstreams.
//
// The sender's first heartbeat may follow over another connection, so that acquireGranted checks
// whether it could have owned them.
func (v *view) handover(now time.Time, from netip.AddrPort, term uint64, upstreams []string) {
	p, ok := v.peers[from]
	if !ok || !v.isMember || term < p.floor || term > v.term {
		return
	}
	for _, name := range upstreams {
		if v.zones[name] == v.self.Zone && !v.owns(name) {
			v.grants[name] = grant{from, term}
		}
	}
	v.acquireGranted(now)
}

// couldHaveOwned reports whether the VM is a live one of this zone that takes part in ownership.
func (v *view) couldHaveOwned(now time.Time, vm netip.AddrPort) bool {
	p, ok := v.peers[vm]
	return ok && p.heard && p.zone == v.self.Zone && p.revision != 0 && !p.silentFor(v.settings.DeadAfter, now)
}

// acquireGranted acquires the upstreams that this VM waits for and that were handed over.
func (v *view) acquireGranted(now time.Time) {
	for name, g := range v.grants {
		if _, ok := v.waiting[name]; ok && v.couldHaveOwned(now, g.from) {
			v.acquire(now, name)
		}
	}
}

// acquireFree acquires what was handed over, and everything else once no other VM can own it.
func (v *view) acquireFree(now time.Time) {
	v.acquireGranted(now)
	if len(v.waiting) == 0 || v.blocked(now) {
		return
	}
	for name := range v.waiting {
		v.acquire(now, name)
	}
}

// blocked reports whether ownership without a handover has to wait.
//
// The answer holds for all upstreams of the zone at once, so that its cost is linear in the peers. A
// VM whose zone is not known yet counts as one of this zone.
func (v *view) blocked(now time.Time) bool {
	if v.contact.IsZero() || now.Sub(latest(v.fenced, v.contact)) < v.settings.TakeoverDelay {
		return true
	}
	for _, p := range v.peers {
		if p.zone != "" && p.zone != v.self.Zone {
			continue
		}
		released := p.released()
		free := !released.IsZero() && now.Sub(released) >= v.settings.TakeoverDelay
		if !free && !p.silentFor(v.settings.TakeoverDelay, now) {
			return true
		}
	}
	return false
}

func (v *view) acquire(now time.Time, name string) {
	delete(v.waiting, name)
	delete(v.grants, name)
	v.owned[name] = now
	v.changes.Acquired = append(v.changes.Acquired, name)
}

// ownerships returns the upstreams that this VM owns or waits for.
func (v *view) ownerships() []Ownership {
	all := make([]Ownership, 0, len(v.owned)+len(v.waiting))
	for name, since := range v.owned {
		all = append(all, Ownership{Upstream: name, Acquired: true, Since: since})
	}
	for name, since := range v.waiting {
		all = append(all, Ownership{Upstream: name, Since: since})
	}
	slices.SortFunc(all, func(a, b Ownership) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
