package catalog

import (
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/table"
)

// Store holds the highest configuration accepted so far; it never returns to a lower one. It is safe
// for concurrent use.
type Store struct {
	state *table.Guarded[storeState]
}

type storeState struct {
	cfg         *Config
	raw         []byte
	acceptedAt  time.Time
	confirmedAt time.Time
	changed     chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{state: table.NewGuarded(table.RankCatalog, storeState{changed: make(chan struct{})})}
}

// Accept makes cfg the current configuration if it is higher than the current one, by revision and
// then by digest, and reports whether it did. The published bytes of cfg are kept as raw.
//
// It returns StaleRevision for a lower revision. Two configurations with the same revision are a
// publishing error: on every VM the one with the higher digest wins, so that all VMs agree, and the
// other is rejected with RevisionConflict. Accepting the current configuration again only confirms it.
func (s *Store) Accept(cfg *Config, raw []byte, now time.Time) (changed bool, err error) {
	s.state.With(func(st *storeState) {
		if st.cfg != nil {
			switch compareConfigs(cfg, st.cfg) {
			case 0:
				st.confirmedAt = now
				return
			case -1:
				err = rejectionError(cfg, st.cfg)
				return
			}
		}
		st.cfg, st.raw, st.acceptedAt, st.confirmedAt = cfg, raw, now, now
		close(st.changed)
		st.changed = make(chan struct{})
		changed = true
	})
	return changed, err
}

// Confirm records that a source still serves the configuration with this digest.
func (s *Store) Confirm(digest uint64, now time.Time) {
	s.state.With(func(st *storeState) {
		if st.cfg != nil && st.cfg.Digest == digest {
			st.confirmedAt = now
		}
	})
}

// Current returns the current configuration, or nil if there is none yet.
func (s *Store) Current() *Config {
	return table.WithResult(s.state, func(st *storeState) *Config { return st.cfg })
}

// Raw returns the current configuration as it was published.
func (s *Store) Raw() []byte {
	return table.WithResult(s.state, func(st *storeState) []byte { return st.raw })
}

// Age returns the time since a source last confirmed that the current configuration is the newest, or 0
// without a configuration.
func (s *Store) Age(now time.Time) time.Duration {
	return table.WithResult(s.state, func(st *storeState) time.Duration {
		if st.cfg == nil {
			return 0
		}
		return now.Sub(st.confirmedAt)
	})
}

// Changed returns a channel that is closed when the next configuration is accepted.
func (s *Store) Changed() <-chan struct{} {
	return table.WithResult(s.state, func(st *storeState) <-chan struct{} { return st.changed })
}

// compareConfigs orders configurations by revision, then digest.
func compareConfigs(a, b *Config) int {
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

// rejectionError returns the error for a configuration that is lower than the current one.
func rejectionError(cfg, current *Config) *result.Error {
	if cfg.Revision == current.Revision {
		return result.New(result.RevisionConflict, "another configuration with this revision is active")
	}
	return result.New(result.StaleRevision, "a configuration with a higher revision is active")
}
