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

// listStep is the least distance of two remembered lists of VMs.
const listStep = 10 * time.Millisecond

// state holds what is published; it is used under one lock and reads no clock.
type state struct {
	versions [][]byte // the version with tag n is at n-1
	changed  chan struct{}
	lists    *standin.History[wire.VMList]
	revision uint64
	frozen   *wire.VMList // nil unless the list is frozen
	faults   Faults
	reads    int
}

func newState(now time.Time, value []byte) state {
	s := state{
		versions: [][]byte{value}, changed: make(chan struct{}),
		lists: standin.NewHistory[wire.VMList](maxListLag, listStep),
	}
	s.lists.Put(now, wire.VMList{Vms: []wire.VM{}})
	return s
}

// publish adds a version and returns its tag.
func (s *state) publish(value []byte) (int, error) {
	if len(value) > codec.MaxConfigBytes {
		return 0, result.New(result.ValueTooLarge, "the value exceeds 1 MiB")
	}
	s.versions = append(s.versions, value)
	s.wake()
	return len(s.versions), nil
}

// visible returns the version that readers see now.
func (s *state) visible() (value []byte, tag int) {
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
	s.revision++
	s.lists.Put(now, wire.VMList{Revision: s.revision, Vms: slices.Clone(vms)})
	return nil
}

// list returns the list of VMs as readers see it now.
func (s *state) list(now time.Time) wire.VMList {
	if s.frozen != nil {
		return *s.frozen
	}
	return s.lists.At(now.Add(-s.faults.ListLag))
}

func (s *state) setFaults(now time.Time, f Faults) error {
	if err := f.check(len(s.versions)); err != nil {
		return err
	}
	switch {
	case !f.ListFrozen:
		s.frozen = nil
	case s.frozen == nil:
		list := s.list(now)
		s.frozen = &list
	}
	s.faults = f
	s.wake()
	return nil
}

// wake lets waiting watches look at the state again.
func (s *state) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func outOfRange[T any](path string, value T, least, most int) error {
	return result.NewFieldError(result.OutOfRange, path, fmt.Sprint(value), fmt.Sprintf("%d to %d", least, most))
}
