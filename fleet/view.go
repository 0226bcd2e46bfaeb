package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// view is the state behind a Table; the table's lock guards it.
type view struct {
	self     Self
	settings Settings
	peers    map[netip.AddrPort]*peer
	hinted   map[netip.AddrPort]time.Time // recent hints, kept when a peer is removed and comes back

	// The configuration in force.
	revision  uint64
	digest    uint64
	upstreams map[string][]string // names by zone
	zones     map[string]string   // zone by upstream name
	out       map[netip.AddrPort]bool
	outNew    bool // out changed since the last change of revision

	ticked   time.Time // last Tick
	fenced   time.Time // last detected pause, or the start
	contact  time.Time // first list or heartbeat; before it, other VMs are unknown
	term     uint64    // sent to peers, and expected in handovers
	ackTerm  uint64    // lowest term of this VM that counts in an acknowledgement
	leaving  bool
	isMember bool

	// Derived from the above by settle.
	stale   map[string]bool // zones whose owners have to be recomputed
	owners  map[string]candidate
	live    []netip.AddrPort
	watches bool

	owned   map[string]time.Time // since when
	waiting map[string]time.Time // since when
	grants  map[string]grant     // handovers not used yet, by upstream
	changes Changes              // not reported yet
}

func newView(self Self, s Settings, now time.Time) view {
	v := view{
		self:     self,
		settings: s,
		peers:    map[netip.AddrPort]*peer{},
		hinted:   map[netip.AddrPort]time.Time{},
		zones:    map[string]string{},
		stale:    map[string]bool{},
		owners:   map[string]candidate{},
		live:     []netip.AddrPort{self.Address},
		watches:  true, // until peers are known
		owned:    map[string]time.Time{},
		waiting:  map[string]time.Time{},
		grants:   map[string]grant{},
		ticked:   now,
	}
	v.restart(now)
	return v
}

// checkPause drops all ownership if the last tick is too old.
func (v *view) checkPause(now time.Time) {
	if now.Sub(latest(v.ticked, v.fenced)) <= v.settings.FenceAfter {
		return
	}
	for name := range v.owned {
		v.lose(name, candidate{}) // a successor may already have acquired it
	}
	for name := range v.waiting {
		v.waiting[name] = now
	}
	for _, p := range v.peers {
		p.tryFrom = now
		if p.live {
			p.grace = now // the peers may have been heard had this VM not been paused
		}
	}
	v.stale[v.self.Zone] = true
	v.restart(now)
	v.changes.Paused = true
}

// restart begins a term for which all peers have to acknowledge anew and the takeover delay starts over.
func (v *view) restart(now time.Time) {
	v.fenced = now
	v.cut(now, nil)
	v.requireAcks()
}

// requireAcks makes every peer acknowledge the current term before it counts as not owning.
func (v *view) requireAcks() {
	v.ackTerm = v.term
	v.dropAcks()
}

func (v *view) dropAcks() {
	for _, p := range v.peers {
		p.acked = time.Time{}
	}
}

// advanceTerm begins a term; terms start from the time, so that those of an earlier incarnation do not
// match.
func (v *view) advanceTerm(now time.Time) {
	v.term = max(v.term+1, uint64(now.UnixNano()))
}

// cut begins a term, so that handovers sent earlier count as outdated except those of one VM.
//
// It is called whenever a member of the zone goes: a delayed handover from before could otherwise
// be applied after another VM had acquired the upstream in between.
func (v *view) cut(now time.Time, except *peer) {
	v.advanceTerm(now)
	for _, p := range v.peers {
		if p != except {
			p.floor = v.term
		}
	}
	v.dropGrants()
}

// dropGrants drops the handovers that have become outdated.
func (v *view) dropGrants() {
	for name, g := range v.grants {
		if p, ok := v.peers[g.from]; !ok || g.term < p.floor {
			delete(v.grants, name)
		}
	}
}

// setConfiguration notes the revision that this VM sends from now on.
func (v *view) setConfiguration(now time.Time, revision, digest uint64) {
	if revision == v.revision && digest == v.digest {
		return
	}
	v.revision, v.digest = revision, digest
	v.settle(now)
	// A peer acknowledges anew only once it has heard this VM with this revision, because it may treat
	// a VM with another one as no member.
	v.advanceTerm(now)
	v.ackTerm = v.term
	if v.outNew {
		v.dropAcks() // any since setOut compared with the earlier revision
		v.outNew = false
	}
}

// setOut replaces the drained VMs; acknowledgements under another set say nothing about this one.
func (v *view) setOut(now time.Time, vms []netip.AddrPort) {
	out := make(map[netip.AddrPort]bool, len(vms))
	same := true
	for _, vm := range vms {
		out[vm] = true
		same = same && v.out[vm]
	}
	if same && len(out) == len(v.out) {
		return
	}
	v.out = out
	v.outNew = true
	v.dropAcks()
	v.settle(now)
}

// setUpstreams replaces the upstreams if they differ.
func (v *view) setUpstreams(now time.Time, ups []Upstream) {
	zones := make(map[string]string, len(ups))
	same := true
	for _, u := range ups {
		zone, ok := v.zones[u.Name]
		same = same && ok && zone == u.Zone
		zones[u.Name] = u.Zone
	}
	if same && len(zones) == len(v.zones) {
		return
	}
	for name, zone := range v.zones {
		if zones[name] != zone {
			v.forget(name)
		}
	}
	v.zones = zones
	v.upstreams = map[string][]string{}
	for name, zone := range zones {
		v.upstreams[zone] = append(v.upstreams[zone], name)
		v.stale[zone] = true
	}
	v.settle(now)
}

// forget drops an upstream that is no longer configured in its zone.
func (v *view) forget(name string) {
	delete(v.owners, name)
	delete(v.waiting, name)
	if _, ok := v.owned[name]; ok {
		v.lose(name, candidate{})
	}
}

func (v *view) leave(now time.Time) {
	v.leaving = true
	v.settle(now)
}

// tick updates the view and returns the changes since the last call.
func (v *view) tick(now time.Time) Changes {
	v.ticked = now
	v.settle(now)
	v.acquireFree(now)
	c := v.changes
	v.changes = Changes{}
	c.ConnectTo = v.hints(now)
	slices.Sort(c.Acquired)
	slices.SortFunc(c.Lost, func(a, b LostUpstream) int { return cmp.Compare(a.Upstream, b.Upstream) })
	slices.SortFunc(c.DeadVMs, netip.AddrPort.Compare)
	return c
}
