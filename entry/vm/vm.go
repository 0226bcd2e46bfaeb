// Package vm assembles one entry VM from its tables, its pool of workers and its transports.
package vm

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/transport"
)

// Settings are what a VM learns from its flags and environment.
type Settings struct {
	Address netip.AddrPort // where callers and other VMs reach this VM
	Zone    string
	Workers int // size of the pool, which bounds the calls under way at upstreams
}

// VM is one entry VM.
type VM struct {
	settings  Settings
	log       log.Logger
	platform  transport.Platform
	upstreams transport.Upstream
	catalog   *catalog.Store
	pool      *pool.Pool[func()]
	timers    *pool.Timers[func()]

	ctx    context.Context // ends the background reads
	cancel context.CancelFunc
	reads  sync.WaitGroup
}

var _ entry.Tier = (*VM)(nil)

// New returns a VM that is not started yet.
func New(s Settings, l log.Logger, p transport.Platform, u transport.Upstream) *VM {
	vm := &VM{settings: s, log: l, platform: p, upstreams: u, catalog: catalog.NewStore()}
	vm.ctx, vm.cancel = context.WithCancel(context.Background())
	return vm
}

// Start starts the workers and the reads from the platform.
func (vm *VM) Start() {
	vm.pool = pool.New(vm.settings.Workers, func(task func()) { task() })
	vm.timers = pool.NewTimers[func()](vm.pool)
	vm.reads.Go(vm.watchConfig)
}

// Stop ends the reads, runs what is queued and waits for the workers.
func (vm *VM) Stop() {
	vm.cancel()
	vm.reads.Wait()
	vm.timers.Stop()
	vm.pool.Stop()
}

// Ready reports whether a configuration is in force.
func (vm *VM) Ready() bool {
	return vm.catalog.InForce() != nil
}

// BodyLimit returns the largest body in bytes that is read now.
func (vm *VM) BodyLimit() int {
	if cfg := vm.catalog.InForce(); cfg != nil {
		return cfg.Limits.BodyBytes
	}
	return 1 << 16
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// pause waits for d or until the VM stops; it reports whether the VM goes on.
func (vm *VM) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-vm.ctx.Done():
		return false
	}
}
