package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// platformWatchers is the number of VMs in a zone that watch the platform; the second one is a spare.
const platformWatchers = 2

// ensurePeer returns the peer at an address and adds it if it is unknown.
func (v *view) ensurePeer(now time.Time, vm netip.AddrPort) *peer {
	p, ok := v.peers[vm]
	if !ok {
		p = &peer{address: vm, tryingSince: now, minHandoverTerm: v.term}
		v.peers[vm] = p
	}
	return p
}

// setListed adds the listed VMs and removes unlisted ones that no VM hears from.
func (v *view) setListed(now time.Time, vms []ListedVM) {
	v.recordContact(now)
	for _, p := range v.peers {
		p.listed = false
	}
	for _, l := range vms {
		if l.Address == v.self.Address {
			continue
		}
		p := v.ensurePeer(now, l.Address)
		p.listed = true
		if !p.heard {
			p.zone = l.Zone // the zone in a heartbeat takes precedence over the list
		}
	}
	removalDelay := max(v.settings.DeadAfter, v.settings.TakeoverDelay)
	for vm, p := range v.peers {
		triedLongEnough := now.Sub(p.tryingSince) >= removalDelay // a flapping list must not remove a VM before its first contact
		if !p.listed && triedLongEnough && !p.live && p.silentFor(removalDelay, now) {
			delete(v.peers, vm)
		}
	}
}

// recordContact records the first time that this VM learned about others.
func (v *view) recordContact(now time.Time) {
	if v.firstContact.IsZero() {
		v.firstContact = now
	}
}

// receiveHeartbeat applies a heartbeat.
func (v *view) receiveHeartbeat(now time.Time, h Heartbeat) {
	if h.Address == v.self.Address {
		return
	}
	v.recordContact(now)
	p := v.ensurePeer(now, h.Address)
	if !p.heard || p.incarnation != h.Incarnation {
		v.replaceIncarnation(p, h)
	}
	p.lastDirect = latest(p.lastDirect, now)
	if h.Term >= p.term { // otherwise a newer heartbeat arrived first over another connection
		p.term, p.revision, p.digest = h.Term, h.Revision, h.Digest
	}
	if h.Leaving && p.leftAt.IsZero() {
		p.leftAt = now
	}
	for _, heard := range h.HeardPeers {
		v.applyHeardPeer(now, p, h, heard)
	}
}

// replaceIncarnation resets the peer to a new incarnation at the same address.
func (v *view) replaceIncarnation(p *peer, h Heartbeat) {
	if p.heard && p.live {
		v.pendingChanges.DeadVMs = append(v.pendingChanges.DeadVMs, p.address)
	}
	v.staleZones[p.zone] = true
	v.staleZones[h.Zone] = true
	p.zone = h.Zone
	p.resetIncarnation(h.Incarnation)
}

// applyHeardPeer applies what a peer's heartbeat says about another VM or about this one.
func (v *view) applyHeardPeer(now time.Time, p *peer, h Heartbeat, heard HeardPeer) {
	if heard.Age >= v.settings.DeadAfter {
		return
	}
	if heard.Address != v.self.Address {
		other := v.ensurePeer(now, heard.Address)
		other.lastReported = latest(other.lastReported, now.Add(-max(heard.Age, 0)))
		return
	}
	knowsTerm := heard.Incarnation == v.self.Incarnation && heard.Term >= v.minAckTerm
	if v.sameConfiguration(h) && knowsTerm && p.ackedAt.IsZero() {
		p.ackedAt = now
	}
}

// sameConfiguration reports whether the sender agrees with this VM on the members of the zone. A
// sender without a configuration owns nothing yet and is expected to receive the same one.
func (v *view) sameConfiguration(h Heartbeat) bool {
	return h.Revision == 0 || (h.Revision == v.revision && h.Digest == v.digest)
}

// recordMessage records that a message other than a heartbeat arrived from the VM.
func (v *view) recordMessage(now time.Time, vm netip.AddrPort) {
	if p, ok := v.peers[vm]; ok && p.heard {
		p.lastDirect = latest(p.lastDirect, now)
	}
}

// recordRefusedConnection records that the VM refused a new connection.
func (v *view) recordRefusedConnection(now time.Time, vm netip.AddrPort) {
	if p, ok := v.peers[vm]; ok {
		p.refusedAt = now
	}
}

// nextHeartbeat returns the heartbeat to send. It lists only VMs that this VM heard from directly: if
// VMs relayed what others reported, a dead VM would appear alive.
func (v *view) nextHeartbeat(now time.Time, ready bool) Heartbeat {
	h := Heartbeat{
		Address:     v.self.Address,
		Zone:        v.self.Zone,
		Incarnation: v.self.Incarnation,
		Term:        v.term,
		Leaving:     v.leaving,
		Ready:       ready,
		Revision:    v.revision,
		Digest:      v.digest,
	}
	for _, p := range v.peers {
		if age := now.Sub(p.lastDirect); p.heard && age < v.settings.DeadAfter {
			h.HeardPeers = append(h.HeardPeers, HeardPeer{p.address, p.incarnation, p.term, age})
		}
	}
	slices.SortFunc(h.HeardPeers, func(a, b HeardPeer) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), a.Address.Compare(b.Address))
	})
	h.HeardPeers = h.HeardPeers[:min(len(h.HeardPeers), maxHeardPeers)]
	return h
}

// dueReconnects returns the VMs to which a new connection is due.
func (v *view) dueReconnects(now time.Time) []netip.AddrPort {
	for vm, at := range v.lastReconnect {
		if now.Sub(at) >= v.settings.ReconnectAfter {
			delete(v.lastReconnect, vm)
		}
	}
	var due []netip.AddrPort
	for vm, p := range v.peers {
		_, recent := v.lastReconnect[vm]
		hasLeft := !p.leftAt.IsZero() && !p.live
		if now.Sub(p.lastDirect) >= v.settings.ReconnectAfter && !recent && !hasLeft {
			v.lastReconnect[vm] = now
			due = append(due, vm)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	return due
}

// updateMembership updates which VMs are live and which are members, and recomputes the owners in
// zones where that changed.
func (v *view) updateMembership(now time.Time) {
	changed := v.updateSelf(now)
	for _, p := range v.peers {
		changed = v.updatePeer(now, p) || changed
	}
	if changed || len(v.staleZones) > 0 {
		v.updateLiveVMs()
	}
	for zone := range v.staleZones {
		v.assignOwners(now, zone)
	}
	clear(v.staleZones)
}

// updateSelf updates this VM's membership and reports whether it changed.
func (v *view) updateSelf(now time.Time) bool {
	member := v.revision != 0 && !v.leaving && !v.drained[v.self.Address]
	if member == v.isMember {
		return false
	}
	v.isMember = member
	v.staleZones[v.self.Zone] = true
	v.invalidateHandovers(now, nil)
	if member {
		v.requireAcks() // peers acknowledged earlier terms while this VM was not a member
	}
	return true
}

// updatePeer updates whether the peer is live and a member, and reports whether either changed.
func (v *view) updatePeer(now time.Time, p *peer) bool {
	live := !p.silentFor(v.settings.DeadAfter, now)
	eligible := live && p.heard && p.leftAt.IsZero() && p.revision != 0 && !v.drained[p.address]
	// A new member needs the same configuration as this VM: another one may exclude the peer, which
	// then could not take over what this VM gives up.
	member := eligible && (p.member || (p.revision == v.revision && p.digest == v.digest))
	if !live || (eligible && !member) {
		p.ackedAt = time.Time{} // it may own upstreams for which it ranks higher than this VM
	}
	wasLive, wasMember := p.live, p.member
	p.live, p.member = live, member
	if wasLive && !live {
		v.pendingChanges.DeadVMs = append(v.pendingChanges.DeadVMs, p.address)
	}
	if wasMember && !member {
		v.handleLostMember(now, p)
	}
	if !wasMember && member {
		p.minHandoverTerm = v.term
		v.dropOutdatedHandovers()
	}
	if wasMember != member {
		v.staleZones[p.zone] = true
	}
	return wasLive != live || wasMember != member
}

// handleLostMember invalidates the handovers sent before the peer ceased to be a member. The peer's
// own handovers stay valid if it is still live.
func (v *view) handleLostMember(now time.Time, p *peer) {
	if p.zone != v.self.Zone {
		return
	}
	if p.live {
		v.invalidateHandovers(now, p)
		return
	}
	v.invalidateHandovers(now, nil)
}

// updateLiveVMs updates the list of live VMs and whether this VM watches the platform.
func (v *view) updateLiveVMs() {
	v.liveVMs = v.liveVMs[:0:0]
	var zoneVMs []netip.AddrPort
	for _, p := range v.peers {
		if !p.live || !p.heard || !p.leftAt.IsZero() {
			continue
		}
		v.liveVMs = append(v.liveVMs, p.address)
		if p.zone == v.self.Zone {
			zoneVMs = append(zoneVMs, p.address)
		}
	}
	if !v.leaving {
		zoneVMs = append(zoneVMs, v.self.Address)
	}
	if !v.leaving || len(v.liveVMs) == 0 {
		v.liveVMs = append(v.liveVMs, v.self.Address)
	}
	ranked := rankBytes(zoneVMs, []byte(v.self.Zone))
	v.watchesPlatform = slices.Contains(ranked[:min(len(ranked), platformWatchers)], v.self.Address)
}

// peerStatuses returns the status of all peers for the status page.
func (v *view) peerStatuses(now time.Time) []PeerStatus {
	statuses := make([]PeerStatus, 0, len(v.peers))
	for _, p := range v.peers {
		status := PeerStatus{Address: p.address, Zone: p.zone, State: p.state(v.settings, now), Incarnation: p.incarnation}
		if last := p.lastHeard(); !last.IsZero() {
			status.SinceHeard = now.Sub(last)
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b PeerStatus) int { return a.Address.Compare(b.Address) })
	return statuses
}
