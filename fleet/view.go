package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// view is the state of a Table, guarded by the table's lock.
type view struct {
	self          Self
	settings      Settings
	peers         map[netip.AddrPort]*peer
	lastReconnect map[netip.AddrPort]time.Time // last reconnect of each VM; kept when a peer is removed and added again

	// From the current configuration.
	revision       uint64
	digest         uint64
	upstreams      map[string][]string // names by zone
	zones          map[string]string   // zone by upstream name
	drained        map[netip.AddrPort]bool
	drainedChanged bool // the drained VMs changed since the last change of revision

	lastTick     time.Time // last Tick
	lastRestart  time.Time // last detected pause, or the start
	firstContact time.Time // first VM list or heartbeat; before it, no other VM is known
	term         uint64    // sent to peers and expected in handovers
	minAckTerm   uint64    // lowest term of this VM that an acknowledgement may carry
	leaving      bool
	isMember     bool

	// Derived from the above by updateMembership.
	staleZones      map[string]bool // zones whose owners have to be recomputed
	owners          map[string]candidate
	liveVMs         []netip.AddrPort
	watchesPlatform bool

	owned          map[string]time.Time        // start of each ownership
	waiting        map[string]time.Time        // start of each wait for ownership
	handovers      map[string]receivedHandover // received handovers that are not used yet, by upstream
	pendingChanges Changes                     // changes to be returned by the next tick
}

func newView(self Self, s Settings, now time.Time) view {
	v := view{
		self:            self,
		settings:        s,
		peers:           map[netip.AddrPort]*peer{},
		lastReconnect:   map[netip.AddrPort]time.Time{},
		zones:           map[string]string{},
		staleZones:      map[string]bool{},
		owners:          map[string]candidate{},
		liveVMs:         []netip.AddrPort{self.Address},
		watchesPlatform: true, // until peers are known
		owned:           map[string]time.Time{},
		waiting:         map[string]time.Time{},
		handovers:       map[string]receivedHandover{},
		lastTick:        now,
	}
	v.restartTerm(now)
	return v
}

// checkPause drops all ownership if the last tick is older than FenceAfter.
func (v *view) checkPause(now time.Time) {
	if now.Sub(latest(v.lastTick, v.lastRestart)) <= v.settings.FenceAfter {
		return
	}
	for name := range v.owned {
		v.loseOwnership(name, candidate{}) // another VM may already have acquired it
	}
	for name := range v.waiting {
		v.waiting[name] = now
	}
	for _, p := range v.peers {
		p.tryingSince = now
		if p.live {
			p.graceStart = now // without the pause, this VM might have heard from the peer
		}
	}
	v.staleZones[v.self.Zone] = true
	v.restartTerm(now)
	v.pendingChanges.Paused = true
}

// restartTerm begins a new term that all peers have to acknowledge, and restarts the takeover delay.
func (v *view) restartTerm(now time.Time) {
	v.lastRestart = now
	v.invalidateHandovers(now, nil)
	v.requireAcks()
}

// requireAcks discards all acknowledgements and accepts only those of the current term from now on.
func (v *view) requireAcks() {
	v.minAckTerm = v.term
	v.dropAcks()
}

// dropAcks discards the acknowledgements of all peers.
func (v *view) dropAcks() {
	for _, p := range v.peers {
		p.ackedAt = time.Time{}
	}
}

// advanceTerm begins a new term. Terms are derived from the clock, so that they differ from those of
// an earlier incarnation.
func (v *view) advanceTerm(now time.Time) {
	v.term = max(v.term+1, uint64(now.UnixNano()))
}

// invalidateHandovers begins a new term, which makes the handovers already sent outdated, except those
// of one VM.
//
// It is called whenever a member of the zone is lost. Otherwise a delayed handover could be applied
// after another VM has acquired the upstream in the meantime.
func (v *view) invalidateHandovers(now time.Time, except *peer) {
	v.advanceTerm(now)
	for _, p := range v.peers {
		if p != except {
			p.minHandoverTerm = v.term
		}
	}
	v.dropOutdatedHandovers()
}

// dropOutdatedHandovers discards the received handovers that are outdated.
func (v *view) dropOutdatedHandovers() {
	for name, h := range v.handovers {
		if p, ok := v.peers[h.from]; !ok || h.term < p.minHandoverTerm {
			delete(v.handovers, name)
		}
	}
}

// setConfiguration sets the configuration revision that this VM announces in its heartbeats.
func (v *view) setConfiguration(now time.Time, revision, digest uint64) {
	if revision == v.revision && digest == v.digest {
		return
	}
	v.revision, v.digest = revision, digest
	v.updateMembership(now)
	// A peer must acknowledge a term sent with this revision, because it may not count a VM with
	// another revision as a member.
	v.advanceTerm(now)
	v.minAckTerm = v.term
	if v.drainedChanged {
		v.dropAcks() // those received since the drained VMs changed were checked against the old revision
		v.drainedChanged = false
	}
}

// setDrained replaces the drained VMs. It discards the acknowledgements, which were given for the old
// set.
func (v *view) setDrained(now time.Time, vms []netip.AddrPort) {
	drained := make(map[netip.AddrPort]bool, len(vms))
	same := true
	for _, vm := range vms {
		drained[vm] = true
		same = same && v.drained[vm]
	}
	if same && len(drained) == len(v.drained) {
		return
	}
	v.drained = drained
	v.drainedChanged = true
	v.dropAcks()
	v.updateMembership(now)
}

// setUpstreams replaces the upstreams if they have changed.
func (v *view) setUpstreams(now time.Time, upstreams []Upstream) {
	zones := make(map[string]string, len(upstreams))
	same := true
	for _, u := range upstreams {
		zone, ok := v.zones[u.Name]
		same = same && ok && zone == u.Zone
		zones[u.Name] = u.Zone
	}
	if same && len(zones) == len(v.zones) {
		return
	}
	for name, zone := range v.zones {
		if zones[name] != zone {
			v.removeUpstream(name)
		}
	}
	v.zones = zones
	v.upstreams = map[string][]string{}
	for name, zone := range zones {
		v.upstreams[zone] = append(v.upstreams[zone], name)
		v.staleZones[zone] = true
	}
	v.updateMembership(now)
}

// removeUpstream removes an upstream that is no longer configured in its zone.
func (v *view) removeUpstream(name string) {
	delete(v.owners, name)
	delete(v.waiting, name)
	if _, ok := v.owned[name]; ok {
		v.loseOwnership(name, candidate{})
	}
}

// leave gives up all ownership for a planned shutdown.
func (v *view) leave(now time.Time) {
	v.leaving = true
	v.updateMembership(now)
}

// tick updates the view and returns the changes since the last call.
func (v *view) tick(now time.Time) Changes {
	v.lastTick = now
	v.updateMembership(now)
	v.acquireAvailable(now)
	c := v.pendingChanges
	v.pendingChanges = Changes{}
	c.ConnectTo = v.dueReconnects(now)
	slices.Sort(c.Acquired)
	slices.SortFunc(c.Lost, func(a, b LostUpstream) int { return cmp.Compare(a.Upstream, b.Upstream) })
	slices.SortFunc(c.DeadVMs, netip.AddrPort.Compare)
	return c
}
