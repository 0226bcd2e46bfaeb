package route

import (
	"maps"
	"time"

	"pistachioshore.dev/table"
)

// Store keeps the highest configuration version and the zones that operators have evacuated; it is
// safe for concurrent use.
type Store struct {
	state *table.Guarded[inForce]
}

type inForce struct {
	cfg       *Config
	accepted  time.Time
	evacuated map[string]bool
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{state: table.NewGuarded(table.RankCatalog, inForce{evacuated: map[string]bool{}})}
}

// Accept puts cfg in force if its version is higher than the one in force, and reports whether it did.
// A version is never taken back within the lifetime of the process.
func (s *Store) Accept(now time.Time, cfg *Config) bool {
	return table.WithResult(s.state, func(f *inForce) bool {
		if f.cfg != nil && cfg.Version <= f.cfg.Version {
			return false
		}
		f.cfg, f.accepted = cfg, now
		return true
	})
}

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Config {
	return table.WithResult(s.state, func(f *inForce) *Config { return f.cfg })
}

// Age returns the time since the version in force was accepted, 0 if there is none.
func (s *Store) Age(now time.Time) time.Duration {
	return table.WithResult(s.state, func(f *inForce) time.Duration {
		if f.cfg == nil {
			return 0
		}
		return now.Sub(f.accepted)
	})
}

// SetEvacuated sets whether the servers of a zone are to get no requests, and reports whether that is new.
func (s *Store) SetEvacuated(zone string, out bool) bool {
	return table.WithResult(s.state, func(f *inForce) bool {
		if f.evacuated[zone] == out {
			return false
		}
		if out {
			f.evacuated[zone] = true
		} else {
			delete(f.evacuated, zone)
		}
		return true
	})
}

// EvacuatedZones returns the zones whose servers are to get no requests.
func (s *Store) EvacuatedZones() map[string]bool {
	return table.WithResult(s.state, func(f *inForce) map[string]bool { return maps.Clone(f.evacuated) })
}
