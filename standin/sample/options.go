package sample

import "net/netip"

type options struct {
	revision        uint64
	snapshots       []uint64
	currentSnapshot uint64
	coldLimit       int
	drainedZones    []string
	leavingServers  []string
	address         func(server string, index int) netip.AddrPort
}

// Option changes a firm's default configuration.
type Option func(o *options)

// WithRevision sets the configuration's revision; the default is 1.
func WithRevision(n uint64) Option {
	return func(o *options) { o.revision = n }
}

// WithSnapshots lists the snapshots, the last of which new queries read. Snapshots from
// FirstRepartitionedSnapshot on use the layout named second. The default is snapshot 1 alone.
func WithSnapshots(versions ...uint64) Option {
	return func(o *options) {
		if n := len(versions); n > 0 {
			o.snapshots, o.currentSnapshot = versions, versions[n-1]
		}
	}
}

// WithCurrentSnapshot sets the snapshot that new queries read, if it is not the last one.
func WithCurrentSnapshot(version uint64) Option {
	return func(o *options) { o.currentSnapshot = version }
}

// WithColdLimit sets the cold-start limit of every group.
func WithColdLimit(n int) Option {
	return func(o *options) { o.coldLimit = n }
}

// WithDrainedZones marks availability zones as drained.
func WithDrainedZones(zones ...string) Option {
	return func(o *options) { o.drainedZones = zones }
}

// WithLeavingServers marks servers as draining.
func WithLeavingServers(servers ...string) Option {
	return func(o *options) { o.leavingServers = servers }
}

// WithAddresses sets the address of each server from its name and its index in the configuration.
func WithAddresses(address func(server string, index int) netip.AddrPort) Option {
	return func(o *options) { o.address = address }
}
