package platform

import (
	"fmt"
	"slices"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/wire"
)

// minListInterval is the minimum time between two lists of VMs that are kept.
const minListInterval = 10 * time.Millisecond

// state decides what readers see. The caller holds its lock and passes the time.
type state struct {
	versions     [][]byte      // the version with tag n is at n-1
	changed      chan struct{} // closed and replaced at each change
	listHistory  *standin.History[wire.VMList]
	listRevision uint64
	frozenList   *wire.VMList // nil unless the list is frozen
	faults       Faults
	readCount    int
}

func newState(now time.Time, value []byte) state {
	s := state{
		versions: [][]byte{value}, changed: make(chan struct{}),
		listHistory: standin.NewHistory[wire.VMList](maxListLag, minListInterval),
	}
	s.listHistory.Put(now, wire.VMList{Vms: []wire.VM{}})
	return s
}

// publish adds a version of the configuration and returns its tag.
func (s *state) publish(value []byte) (int, error) {
	if len(value) > codec.MaxConfigBytes {
		return 0, result.New(result.ValueTooLarge, "the value exceeds 1 MiB")
	}
	s.versions = append(s.versions, value)
	s.notifyWatches()
	return len(s.versions), nil
}

// visibleVersion returns the version that readers see now.
func (s *state) visibleVersion() (value []byte, tag int) {
	tag = len(s.versions)
	if s.faults.StaleTag > 0 {
		tag = s.faults.StaleTag
	}
	return s.versions[tag-1], tag
}

func (s *state) setVMs(now time.Time, vms []wire.VM) error {
	for i, vm := range vms {
		if !vm.Address.IsValid() {
			return result.NewFieldError(result.OutOfRange, fmt.Sprintf("vms[%d].address", i), vm.Address.String(), "an IP address with a port")
		}
		if vm.State != "live" && vm.State != "leaving" {
			return result.NewFieldError(result.OutOfRange, fmt.Sprintf("vms[%d].state", i), vm.State, "live or leaving")
		}
	}
	s.listRevision++
	s.listHistory.Put(now, wire.VMList{Revision: s.listRevision, Vms: slices.Clone(vms)})
	return nil
}

// visibleList returns the list of VMs as readers see it now.
func (s *state) visibleList(now time.Time) wire.VMList {
	if s.frozenList != nil {
		return *s.frozenList
	}
	return s.listHistory.At(now.Add(-s.faults.ListLag))
}

func (s *state) setFaults(now time.Time, f Faults) error {
	if err := f.validate(len(s.versions)); err != nil {
		return err
	}
	switch {
	case !f.ListFrozen:
		s.frozenList = nil
	case s.frozenList == nil:
		list := s.visibleList(now)
		s.frozenList = &list
	}
	s.faults = f
	s.notifyWatches()
	return nil
}

// notifyWatches makes open watches read the state again.
func (s *state) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func newRangeError[T any](path string, value T, low, high int) error {
	return result.NewFieldError(result.OutOfRange, path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
}
