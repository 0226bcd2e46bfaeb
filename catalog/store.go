package catalog

import (
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Store keeps the highest configuration that was accepted; it never goes back to a lower one.
type Store struct {
	state *table.Guarded[storeState]
}

type storeState struct {
	cfg       *Config
	raw       []byte
	accepted  time.Time
	confirmed time.Time
	changed   chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{state: table.NewGuarded(table.RankCatalog, storeState{changed: make(chan struct{})})}
}

// Accept puts cfg in force if it is higher than the one in force by revision, then digest.
//
// It returns StaleRevision for a lower revision. Two values with one revision are a publishing
// fault: the higher digest wins on every VM, so that all VMs end with the same value, and the
// loser gets RevisionConflict. Accepting the value in force again only confirms it.
func (s *Store) Accept(cfg *Config, raw []byte, now time.Time) (changed bool, err error) {
	s.state.With(func(st *storeState) {
		if st.cfg != nil {
			switch compare(cfg, st.cfg) {
			case 0:
				st.confirmed = now
				return
			case -1:
				err = rejection(cfg, st.cfg)
				return
			}
		}
		st.cfg, st.raw, st.accepted, st.confirmed = cfg, raw, now, now
		close(st.changed)
		st.changed = make(chan struct{})
		changed = true
	})
	return changed, err
}

// Confirm notes that a source has shown the value with this digest again.
func (s *Store) Confirm(digest uint64, now time.Time) {
	s.state.With(func(st *storeState) {
		if st.cfg != nil && st.cfg.Digest == digest {
			st.confirmed = now
		}
	})
}

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Config {
	return table.WithResult(s.state, func(st *storeState) *Config { return st.cfg })
}

// Raw returns the published bytes of the configuration in force.
func (s *Store) Raw() []byte {
	return table.WithResult(s.state, func(st *storeState) []byte { return st.raw })
}

// Age returns the time since any source last confirmed that the value in force is the newest.
func (s *Store) Age(now time.Time) time.Duration {
	return table.WithResult(s.state, func(st *storeState) time.Duration {
		if st.cfg == nil {
			return 0
		}
		return now.Sub(st.confirmed)
	})
}

// Changed returns a channel that is closed when the next configuration comes into force.
func (s *Store) Changed() <-chan struct{} {
	return table.WithResult(s.state, func(st *storeState) <-chan struct{} { return st.changed })
}

func compare(a, b *Config) int {
	switch {
	case a.Revision != b.Revision:
		return sign(a.Revision > b.Revision)
	case a.Digest != b.Digest:
		return sign(a.Digest > b.Digest)
	default:
		return 0
	}
}

func sign(greater bool) int {
	if greater {
		return 1
	}
	return -1
}

func rejection(cfg, inForce *Config) *result.Error {
	if cfg.Revision == inForce.Revision {
		return result.New(result.RevisionConflict, "another value with this revision is in force")
	}
	return result.New(result.StaleRevision, "a higher revision is in force")
}
