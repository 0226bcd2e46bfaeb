package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// view is the state of a Table, guarded by the table's lock.
type view struct {
	self     Self
	settings Settings
	peers    map[netip.AddrPort]*peer
	hinted   map[netip.AddrPort]time.Time // last reconnect of each VM; kept when a peer is removed and added again

	// From the current configuration.
	revision  uint64
	digest    uint64
	upstreams map[string][]string // names by zone
	zones     map[string]string   // zone by upstream name
	out       map[netip.AddrPort]bool
	outNew    bool // the drained VMs changed since the last change of revision

	ticked   time.Time // last Tick
	fenced   time.Time // last detected pause, or the start
	contact  time.Time // first VM list or heartbeat; before it, no other VM is known
	term     uint64    // sent to peers and expected in handovers
	ackTerm  uint64    // lowest term of this VM that an acknowledgement may carry
	leaving  bool
	isMember bool

	// Derived from the above by settle.
	stale   map[string]bool // zones whose owners have to be recomputed
	owners  map[string]candidate
	live    []netip.AddrPort
	watches bool

	owned   map[string]time.Time // start of each ownership
	waiting map[string]time.Time // start of each wait for ownership
	grants  map[string]grant     // received handovers that are not used yet, by upstream
	changes Changes              // changes to be returned by the next tick
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

// checkPause drops all ownership if the last tick is older than FenceAfter.
func (v *view) checkPause(now time.Time) {
	if now.Sub(latest(v.ticked, v.fenced)) <= v.settings.FenceAfter {
		return
	}
	for name := range v.owned {
		v.lose(name, candidate{}) // another VM may already have acquired it
	}
	for name := range v.waiting {
		v.waiting[name] = now
	}
	for _, p := range v.peers {
		p.tryFrom = now
		if p.live {
			p.grace = now // without the pause, this VM might have heard from the peer
		}
	}
	v.stale[v.self.Zone] = true
	v.restart(now)
	v.changes.Paused = true
}

// restart begins a new term that all peers have to acknowledge, and restarts the takeover delay.
func (v *view) restart(now time.Time) {
	v.fenced = now
	v.cut(now, nil)
	v.requireAcks()
}

// requireAcks discards all acknowledgements and accepts only those of the current term from now on.
func (v *view) requireAcks() {
	v.ackTerm = v.term
	v.dropAcks()
}

// dropAcks discards the acknowledgements of all peers.
func (v *view) dropAcks() {
	for _, p := range v.peers {
		p.acked = time.Time{}
	}
}

// advanceTerm begins a new term. Terms are derived from the clock, so that they differ from those of
// an earlier incarnation.
func (v *view) advanceTerm(now time.Time) {
	v.term = max(v.term+1, uint64(now.UnixNano()))
}

// cut begins a new term and thereby outdates the handovers already sent, except those of one VM.
//
// It is called whenever a member of the zone is lost. Otherwise a delayed handover could be applied
// after another VM has acquired the upstream in the meantime.
func (v *view) cut(now time.Time, except *peer) {
	v.advanceTerm(now)
	for _, p := range v.peers {
		if p != except {
			p.floor = v.term
		}
	}
	v.dropGrants()
}

// dropGrants discards the received handovers that are outdated.
func (v *view) dropGrants() {
	for name, g := range v.grants {
		if p, ok := v.peers[g.from]; !ok || g.term < p.floor {
			delete(v.grants, name)
		}
	}
}

// setConfiguration sets the configuration revision that this VM announces in its heartbeats.
func (v *view) setConfiguration(now time.Time, revision, digest uint64) {
	if revision == v.revision && digest == v.digest {
		return
	}
	v.revision, v.digest = revision, digest
	v.settle(now)
	// A peer must acknowledge a term sent with this revision, because it may not count a VM with
	// another revision as a member.
	v.advanceTerm(now)
	v.ackTerm = v.term
	if v.outNew {
		v.dropAcks() // those received since the drained VMs changed were checked against the old revision
		v.outNew = false
	}
}

// setDrained replaces the drained VMs. It discards the acknowledgements, which were given for the old
// set.
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

// setUpstreams replaces the upstreams if they have changed.
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

// forget removes an upstream that is no longer configured in its zone.
func (v *view) forget(name string) {
	delete(v.owners, name)
	delete(v.waiting, name)
	if _, ok := v.owned[name]; ok {
		v.lose(name, candidate{})
	}
}

// leave gives up all ownership for a planned shutdown.
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
