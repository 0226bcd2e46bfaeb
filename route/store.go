package route

import (
	"maps"
	"slices"
	"time"

	"pistachioshore.dev/table"
)

// Store holds the current configuration and the zones that operators have evacuated. It is safe for concurrent use.
type Store struct {
	state *table.Guarded[storeState]
}

type storeState struct {
	cfg        *Config
	recent     []*Config // the current configuration and those before it, latest first
	acceptedAt time.Time
	evacuated  map[string]bool
}

// maxRecentConfigs is the number of configurations that are kept, including the current one.
const maxRecentConfigs = 4

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{state: table.NewGuarded(table.RankCatalog, storeState{evacuated: map[string]bool{}})}
}

// Accept makes cfg the current configuration if its version is higher than the current one, and reports whether it
// did. A process never goes back to a lower version.
func (s *Store) Accept(now time.Time, cfg *Config) bool {
	return table.WithResult(s.state, func(st *storeState) bool {
		if st.cfg != nil && cfg.Version <= st.cfg.Version {
			return false
		}
		st.cfg, st.acceptedAt = cfg, now
		st.recent = slices.Insert(st.recent, 0, cfg)
		st.recent = st.recent[:min(len(st.recent), maxRecentConfigs)]
		return true
	})
}

// Current returns the current configuration, or nil if there is none yet.
func (s *Store) Current() *Config {
	return table.WithResult(s.state, func(st *storeState) *Config { return st.cfg })
}

// Version returns the configuration with the given version if it is the current one or among the last before it, and nil
// otherwise. VMs that answer one query together use it, because they do not accept a new version at the same time.
func (s *Store) Version(version uint64) *Config {
	return table.WithResult(s.state, func(st *storeState) *Config {
		for _, cfg := range st.recent {
			if cfg.Version == version {
				return cfg
			}
		}
		return nil
	})
}

// Age returns the time since the current configuration was accepted, or 0 if there is none.
func (s *Store) Age(now time.Time) time.Duration {
	return table.WithResult(s.state, func(st *storeState) time.Duration {
		if st.cfg == nil {
			return 0
		}
		return now.Sub(st.acceptedAt)
	})
}

// SetEvacuated sets whether a zone is evacuated, and reports whether that is a change. The servers of an evacuated
// zone receive no requests.
func (s *Store) SetEvacuated(zone string, evacuated bool) bool {
	return table.WithResult(s.state, func(st *storeState) bool {
		if st.evacuated[zone] == evacuated {
			return false
		}
		if evacuated {
			st.evacuated[zone] = true
		} else {
			delete(st.evacuated, zone)
		}
		return true
	})
}

// EvacuatedZones returns the set of evacuated zones.
func (s *Store) EvacuatedZones() map[string]bool {
	return table.WithResult(s.state, func(st *storeState) map[string]bool { return maps.Clone(st.evacuated) })
}
