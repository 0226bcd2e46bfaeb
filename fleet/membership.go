package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// watchers is the number of VMs in a zone that watch the platform: one, and one in case it fails.
const watchers = 2

// known returns the peer at an address and adds it if it is new.
func (v *view) known(now time.Time, vm netip.AddrPort) *peer {
	p, ok := v.peers[vm]
	if !ok {
		p = &peer{address: vm, tryFrom: now, floor: v.term}
		v.peers[vm] = p
	}
	return p
}

// list adds the listed VMs and removes unlisted ones that no VM hears.
func (v *view) list(now time.Time, vms []ListedVM) {
	v.noteContact(now)
	for _, p := range v.peers {
		p.listed = false
	}
	for _, l := range vms {
		if l.Address == v.self.Address {
			continue
		}
		p := v.known(now, l.Address)
		p.listed = true
		if !p.heard {
			p.zone = l.Zone // a heartbeat knows better than the list
		}
	}
	patience := max(v.settings.DeadAfter, v.settings.TakeoverDelay)
	for vm, p := range v.peers {
		tried := now.Sub(p.tryFrom) >= patience // a list that flaps removes no VM before its first contact
		if !p.listed && tried && !p.live && p.silentFor(patience, now) {
			delete(v.peers, vm)
		}
	}
}

func (v *view) noteContact(now time.Time) {
	if v.contact.IsZero() {
		v.contact = now
	}
}

// hear takes a heartbeat.
func (v *view) hear(now time.Time, h Heartbeat) {
	if h.Address == v.self.Address {
		return
	}
	v.noteContact(now)
	p := v.known(now, h.Address)
	if !p.heard || p.incarnation != h.Incarnation {
		v.replace(p, h)
	}
	p.direct = latest(p.direct, now)
	if h.Term >= p.term { // else a newer heartbeat came first over another connection
		p.term, p.revision, p.digest = h.Term, h.Revision, h.Digest
	}
	if h.Leaving && p.left.IsZero() {
		p.left = now
	}
	for _, e := range h.HeardPeers {
		v.report(now, p, h, e)
	}
}

// replace makes p the VM of a new incarnation.
func (v *view) replace(p *peer, h Heartbeat) {
	if p.heard && p.live {
		v.changes.DeadVMs = append(v.changes.DeadVMs, p.address)
	}
	v.stale[p.zone] = true
	v.stale[h.Zone] = true
	p.zone = h.Zone
	p.begin(h.Incarnation)
}

// report takes what a peer's heartbeat says of another VM or of this one.
func (v *view) report(now time.Time, p *peer, h Heartbeat, e HeardPeer) {
	if e.Age >= v.settings.DeadAfter {
		return
	}
	if e.Address != v.self.Address {
		q := v.known(now, e.Address)
		q.reported = latest(q.reported, now.Add(-max(e.Age, 0)))
		return
	}
	knowsTerm := e.Incarnation == v.self.Incarnation && e.Term >= v.ackTerm
	if v.sameConfiguration(h) && knowsTerm && p.acked.IsZero() {
		p.acked = now
	}
}

// sameConfiguration reports whether the sender agrees on the members of the zone. One without a
// configuration owns nothing yet, and is expected to get the same.
func (v *view) sameConfiguration(h Heartbeat) bool {
	return h.Revision == 0 || (h.Revision == v.revision && h.Digest == v.digest)
}

func (v *view) progress(now time.Time, vm netip.AddrPort) {
	if p, ok := v.peers[vm]; ok && p.heard {
		p.direct = latest(p.direct, now)
	}
}

func (v *view) refused(now time.Time, vm netip.AddrPort) {
	if p, ok := v.peers[vm]; ok {
		p.refused = now
	}
}

// heartbeat returns the heartbeat to send; it lists only VMs heard directly, because ages passed on
// from VM to VM would keep a dead VM alive.
func (v *view) heartbeat(now time.Time, ready bool) Heartbeat {
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
		if age := now.Sub(p.direct); p.heard && age < v.settings.DeadAfter {
			h.HeardPeers = append(h.HeardPeers, HeardPeer{p.address, p.incarnation, p.term, age})
		}
	}
	slices.SortFunc(h.HeardPeers, func(a, b HeardPeer) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), a.Address.Compare(b.Address))
	})
	h.HeardPeers = h.HeardPeers[:min(len(h.HeardPeers), heardLimit)]
	return h
}

// hints returns the VMs to which a fresh connection is due.
func (v *view) hints(now time.Time) []netip.AddrPort {
	for vm, at := range v.hinted {
		if now.Sub(at) >= v.settings.ReconnectAfter {
			delete(v.hinted, vm)
		}
	}
	var due []netip.AddrPort
	for vm, p := range v.peers {
		_, recent := v.hinted[vm]
		gone := !p.left.IsZero() && !p.live
		if now.Sub(p.direct) >= v.settings.ReconnectAfter && !recent && !gone {
			v.hinted[vm] = now
			due = append(due, vm)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	return due
}

// settle updates which VMs are live and members, and recomputes the owners where that changed.
func (v *view) settle(now time.Time) {
	changed := v.settleSelf(now)
	for _, p := range v.peers {
		changed = v.settlePeer(now, p) || changed
	}
	if changed || len(v.stale) > 0 {
		v.settleLive()
	}
	for zone := range v.stale {
		v.assign(now, zone)
	}
	clear(v.stale)
}

// settleSelf reports whether this VM became a member or ceased to be one.
func (v *view) settleSelf(now time.Time) bool {
	member := v.revision != 0 && !v.leaving && !v.out[v.self.Address]
	if member == v.isMember {
		return false
	}
	v.isMember = member
	v.stale[v.self.Zone] = true
	v.cut(now, nil)
	if member {
		v.requireAcks() // earlier terms were heard when this VM was not a member
	}
	return true
}

// settlePeer reports whether the peer's part in the tier changed.
func (v *view) settlePeer(now time.Time, p *peer) bool {
	live := !p.silentFor(v.settings.DeadAfter, now)
	eligible := live && p.heard && p.left.IsZero() && p.revision != 0 && !v.out[p.address]
	// A VM that its own configuration may exclude could not take what this VM gives up.
	member := eligible && (p.member || (p.revision == v.revision && p.digest == v.digest))
	if !live || (eligible && !member) {
		p.acked = time.Time{} // it may own upstreams for which it ranks before this VM
	}
	wasLive, wasMember := p.live, p.member
	p.live, p.member = live, member
	if wasLive && !live {
		v.changes.DeadVMs = append(v.changes.DeadVMs, p.address)
	}
	if wasMember && !member {
		v.removeMember(now, p)
	}
	if !wasMember && member {
		p.floor = v.term
		v.dropGrants()
	}
	if wasMember != member {
		v.stale[p.zone] = true
	}
	return wasLive != live || wasMember != member
}

// removeMember makes the handovers sent before the peer ceased to be a member outdated, but for the
// peer's own if it is still live.
func (v *view) removeMember(now time.Time, p *peer) {
	if p.zone != v.self.Zone {
		return
	}
	if p.live {
		v.cut(now, p)
		return
	}
	v.cut(now, nil)
}

// settleLive updates the live VMs and whether this VM watches the platform.
func (v *view) settleLive() {
	v.live = v.live[:0:0]
	var zone []netip.AddrPort
	for _, p := range v.peers {
		if !p.live || !p.heard || !p.left.IsZero() {
			continue
		}
		v.live = append(v.live, p.address)
		if p.zone == v.self.Zone {
			zone = append(zone, p.address)
		}
	}
	if !v.leaving {
		zone = append(zone, v.self.Address)
	}
	if !v.leaving || len(v.live) == 0 {
		v.live = append(v.live, v.self.Address)
	}
	ranked := rankBytes(zone, []byte(v.self.Zone))
	v.watches = slices.Contains(ranked[:min(len(ranked), watchers)], v.self.Address)
}

// status returns the peers for the status page.
func (v *view) status(now time.Time) []PeerStatus {
	views := make([]PeerStatus, 0, len(v.peers))
	for _, p := range v.peers {
		pv := PeerStatus{Address: p.address, Zone: p.zone, State: p.state(v.settings, now), Incarnation: p.incarnation}
		if last := p.lastHeard(); !last.IsZero() {
			pv.SinceHeard = now.Sub(last)
		}
		views = append(views, pv)
	}
	slices.SortFunc(views, func(a, b PeerStatus) int { return a.Address.Compare(b.Address) })
	return views
}
