package vm

import (
	"time"

	"github.com/go-kit/log/level"

	"pistachioshore.dev/codec"
)

// Times of the reads from the configuration service.
const (
	watchTime  = 10 * time.Second // longest time that one watch waits
	retryDelay = 500 * time.Millisecond
)

// watchConfig keeps reading the published configuration until the VM stops.
func (vm *VM) watchConfig() {
	tag := ""
	for vm.ctx.Err() == nil {
		wait := watchTime
		if tag == "" {
			wait = 0
		}
		published, err := vm.platform.Config(vm.ctx, tag, wait)
		if err != nil {
			if !vm.pause(retryDelay) {
				return
			}
			continue
		}
		tag = published.Tag
		if published.Changed {
			vm.acceptConfig(published.Value)
		}
	}
}

// acceptConfig checks a published configuration and puts it in force if it is the highest.
func (vm *VM) acceptConfig(value []byte) {
	cfg, faults := codec.ParseConfig(value)
	if len(faults) > 0 {
		_ = level.Warn(vm.log).Log("msg", "configuration refused", "fault", faults[0], "faults", len(faults))
		return
	}
	changed, err := vm.catalog.Accept(cfg, value, time.Now())
	if err != nil {
		_ = level.Warn(vm.log).Log("msg", "configuration refused", "revision", cfg.Revision, "fault", err)
		return
	}
	if changed {
		_ = level.Info(vm.log).Log("msg", "configuration in force", "revision", cfg.Revision)
	}
}
