// Package team identifies the teams that may send requests, by their API keys.
//
// A team is a customer of the tier. The configuration lists the teams with their keys, priorities and quotas. Keys are
// compared as digests, and no log line, metric or message about a request holds one. In clear text they are only in the
// configuration as the platform publishes it.
package team

import (
	"crypto/sha256"
	"fmt"
	"math"
)

// Key is the digest of an API key. The zero Key belongs to no team.
type Key [sha256.Size]byte

// Digest returns the digest of an API key.
func Digest(key string) Key {
	return sha256.Sum256([]byte(key))
}

// IsZero reports whether there is no key.
func (k Key) IsZero() bool {
	return k == Key{}
}

// Quota is the rate at which the requests of a team may run on all VMs together. A zero Rate is no limit.
type Quota struct {
	Rate  float64 // requests a second
	Burst float64 // further requests that a team may save up
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool {
	return q.Rate > 0
}

// Team is one team of a configuration.
type Team struct {
	Name     string
	Priority *int // takes precedence over the priority of a route; nil if the team has none
	Quota    Quota
}

// PriorityOr returns the priority of the team, or that of the route if the team has none. 0 is the most urgent.
func (t *Team) PriorityOr(route int) int {
	if t == nil || t.Priority == nil {
		return route
	}
	return *t.Priority
}

// Definition is a team as a configuration defines it, with its API keys in clear text.
type Definition struct {
	Team
	Keys []string
}

// Limits of a configuration's teams. Larger ones would use up the memory of a VM for tables that no request needs.
const (
	MaxTeams    = 1 << 14 // teams of a configuration
	MaxKeys     = 1 << 16 // API keys of all teams together
	MaxKeyBytes = 4 << 10 // length of an API key
	MaxName     = 200     // length of a team's name in bytes, which is sent to upstreams as the value of a header field
)

// Directory finds teams by key and by name. It is immutable.
type Directory struct {
	byKey  map[Key]*Team
	byName map[string]*Team
}

// NewDirectory returns a directory of the teams. It returns an error that names the team if a definition is invalid, but
// never a key.
func NewDirectory(definitions []Definition) (*Directory, error) {
	if len(definitions) > MaxTeams {
		return nil, fmt.Errorf("%d teams, allowed: at most %d", len(definitions), MaxTeams)
	}
	d := &Directory{byKey: map[Key]*Team{}, byName: make(map[string]*Team, len(definitions))}
	for i := range definitions {
		if err := d.add(&definitions[i]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(def *Definition) error {
	t := def.Team
	switch {
	case !isHeaderValue(t.Name):
		return fmt.Errorf("team %.40q: the name must have 1 to %d printable ASCII characters without spaces", t.Name, MaxName)
	case d.byName[t.Name] != nil:
		return fmt.Errorf("team %q is defined twice", t.Name)
	case !isQuotaValue(t.Quota.Rate):
		return fmt.Errorf("team %q: the rate is %g, allowed: a number of 0 or more", t.Name, t.Quota.Rate)
	case !isQuotaValue(t.Quota.Burst):
		return fmt.Errorf("team %q: the burst is %g, allowed: a number of 0 or more", t.Name, t.Quota.Burst)
	case len(d.byKey)+len(def.Keys) > MaxKeys:
		return fmt.Errorf("team %q: more than %d keys", t.Name, MaxKeys)
	}
	d.byName[t.Name] = &t
	for i, key := range def.Keys {
		if key == "" || len(key) > MaxKeyBytes {
			return fmt.Errorf("team %q: key %d has %d bytes, allowed: 1 to %d", t.Name, i+1, len(key), MaxKeyBytes)
		}
		digest := Digest(key)
		if other := d.byKey[digest]; other != nil && other.Name != t.Name {
			return fmt.Errorf("team %q: key %d also belongs to team %q", t.Name, i+1, other.Name)
		}
		d.byKey[digest] = &t
	}
	return nil
}

// isQuotaValue reports whether a rate or a burst is a finite number of 0 or more.
func isQuotaValue(v float64) bool {
	return v >= 0 && !math.IsInf(v, 0)
}

// isHeaderValue reports whether a name can be sent as the value of a header field.
func isHeaderValue(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// Lookup returns the team that a key belongs to, or nil if it belongs to none.
func (d *Directory) Lookup(k Key) *Team {
	return d.byKey[k]
}

// Named returns the team with the given name, or nil if there is none.
func (d *Directory) Named(name string) *Team {
	return d.byName[name]
}

// Holds reports whether the key still belongs to the team with the given name.
func (d *Directory) Holds(name string, k Key) bool {
	t := d.byKey[k]
	return t != nil && t.Name == name
}
