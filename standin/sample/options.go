package sample

import "net/netip"

type options struct {
	revision  uint64
	snapshots []uint64
	current   uint64
	coldLimit int
	zonesOut  []string
	leaving   []string
	address   func(server string, number int) netip.AddrPort
}

// Option changes a firm's default configuration.
type Option func(o *options)

// WithRevision sets the revision; the default is 1.
func WithRevision(n uint64) Option {
	return func(o *options) { o.revision = n }
}

// WithSnapshots lists the snapshots, the last of which new queries pin; from RepartitionedFrom on
// they use the layout second. The default is snapshot 1 alone.
func WithSnapshots(versions ...uint64) Option {
	return func(o *options) {
		if n := len(versions); n > 0 {
			o.snapshots, o.current = versions, versions[n-1]
		}
	}
}

// WithCurrentSnapshot sets the snapshot that new queries pin, if it is not the last one.
func WithCurrentSnapshot(version uint64) Option {
	return func(o *options) { o.current = version }
}

// WithColdLimit sets the cold-start limit of every group.
func WithColdLimit(n int) Option {
	return func(o *options) { o.coldLimit = n }
}

// WithDrainedZones marks availability zones as drained.
func WithDrainedZones(zones ...string) Option {
	return func(o *options) { o.zonesOut = zones }
}

// WithLeavingServers marks servers as draining.
func WithLeavingServers(servers ...string) Option {
	return func(o *options) { o.leaving = servers }
}

// WithAddresses sets the address of each server from its name and its number in the configuration.
func WithAddresses(address func(server string, number int) netip.AddrPort) Option {
	return func(o *options) { o.address = address }
}
