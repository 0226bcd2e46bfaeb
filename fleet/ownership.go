package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// owns reports whether this VM owns the upstream.
func (v *view) owns(upstream string) bool {
	_, ok := v.owned[upstream]
	return ok && !v.leaving
}

// assignOwners recomputes the owners of a zone's upstreams.
func (v *view) assignOwners(now time.Time, zone string) {
	members := v.members(zone)
	for _, name := range v.upstreams[zone] {
		owner := highestWeight(members, []byte(name))
		v.owners[name] = owner
		if zone == v.self.Zone {
			v.applyOwner(now, name, owner)
		}
	}
}

// members returns the members of a zone, which are the VMs that can own upstreams.
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

// applyOwner starts to wait for an upstream that is assigned to this VM, or gives up one that is
// assigned to another VM.
func (v *view) applyOwner(now time.Time, name string, owner candidate) {
	_, owned := v.owned[name]
	_, waiting := v.waiting[name]
	switch {
	case owner.address != v.self.Address:
		delete(v.waiting, name)
		if owned {
			v.loseOwnership(name, owner)
		}
	case !owned && !waiting:
		v.waiting[name] = now
	}
}

// loseOwnership gives up ownership in favour of a successor, which is the zero candidate if there is
// none.
func (v *view) loseOwnership(name string, successor candidate) {
	delete(v.owned, name)
	if i := slices.Index(v.pendingChanges.Acquired, name); i >= 0 {
		// The caller has not seen the acquisition yet, so there is nothing to hand over.
		v.pendingChanges.Acquired = slices.Delete(v.pendingChanges.Acquired, i, i+1)
		return
	}
	v.pendingChanges.Lost = append(v.pendingChanges.Lost, LostUpstream{Upstream: name, Successor: successor.address, Term: successor.term})
}

// receivedHandover is a handover that has arrived but has not been used yet.
type receivedHandover struct {
	from netip.AddrPort
	term uint64
}

// receiveHandover stores a handover for the upstreams and acquires those that this VM waits for.
//
// The sender's first heartbeat may arrive later over another connection, so
// acquireHandedOver checks whether the sender could have owned them.
func (v *view) receiveHandover(now time.Time, from netip.AddrPort, term uint64, upstreams []string) {
	p, ok := v.peers[from]
	if !ok || !v.isMember || term < p.minHandoverTerm || term > v.term {
		return
	}
	for _, name := range upstreams {
		if v.zones[name] == v.self.Zone && !v.owns(name) {
			v.handovers[name] = receivedHandover{from, term}
		}
	}
	v.acquireHandedOver(now)
}

// couldHaveOwned reports whether the VM is live, in this zone and has a configuration, so that it can
// have owned upstreams of the zone.
func (v *view) couldHaveOwned(now time.Time, vm netip.AddrPort) bool {
	p, ok := v.peers[vm]
	return ok && p.heard && p.zone == v.self.Zone && p.revision != 0 && !p.silentFor(v.settings.DeadAfter, now)
}

// acquireHandedOver acquires the upstreams that this VM waits for and that were handed over to it.
func (v *view) acquireHandedOver(now time.Time) {
	for name, h := range v.handovers {
		if _, ok := v.waiting[name]; ok && v.couldHaveOwned(now, h.from) {
			v.acquire(now, name)
		}
	}
}

// acquireAvailable acquires the upstreams that were handed over, and all others that this VM waits for
// once no other VM can own them.
func (v *view) acquireAvailable(now time.Time) {
	v.acquireHandedOver(now)
	if len(v.waiting) == 0 || v.acquisitionBlocked(now) {
		return
	}
	for name := range v.waiting {
		v.acquire(now, name)
	}
}

// acquisitionBlocked reports whether another VM may still own upstreams of this zone, so that none can
// be acquired without a handover.
//
// It decides for all upstreams of the zone at once, which keeps its cost linear in the number of
// peers. A VM whose zone is not known yet counts as one of this zone.
func (v *view) acquisitionBlocked(now time.Time) bool {
	if v.firstContact.IsZero() || now.Sub(latest(v.lastRestart, v.firstContact)) < v.settings.TakeoverDelay {
		return true
	}
	for _, p := range v.peers {
		if p.zone != "" && p.zone != v.self.Zone {
			continue
		}
		releasedAt := p.releasedAt()
		released := !releasedAt.IsZero() && now.Sub(releasedAt) >= v.settings.TakeoverDelay
		if !released && !p.silentFor(v.settings.TakeoverDelay, now) {
			return true
		}
	}
	return false
}

// acquire makes this VM the owner of the upstream.
func (v *view) acquire(now time.Time, name string) {
	delete(v.waiting, name)
	delete(v.handovers, name)
	v.owned[name] = now
	v.pendingChanges.Acquired = append(v.pendingChanges.Acquired, name)
}

// ownerships returns the upstreams that this VM owns or is waiting for.
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
