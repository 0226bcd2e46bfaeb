package catalog

import (
	"net/netip"
	"strconv"

	"pistachioshore.dev/result"
)

// firstUse maps each key to the path where it was used first.
type firstUse[K comparable] map[K]string

// recordUse records a use of the key at path. If the key was used before, it returns the path of the
// first use.
func (f firstUse[K]) recordUse(key K, path string) (first string, duplicate bool) {
	if first, duplicate = f[key]; !duplicate {
		f[key] = path
	}
	return first, duplicate
}

// checkUnique adds an error if the name is already in use. Missing names are skipped.
func (v *validator) checkUnique(seen firstUse[string], path, name string) {
	if name == "" {
		return
	}
	if first, duplicate := seen.recordUse(name, path); duplicate {
		v.addError(result.DuplicateName, path, name, "a name other than that of "+first)
	}
}

func (v *validator) checkUniqueNames() {
	zones := firstUse[string]{}
	for i, z := range v.cfg.Zones {
		v.checkUnique(zones, elementPath("zones", i)+".name", z.Name)
	}
	v.checkUniqueInGroups()
	layouts := firstUse[string]{}
	for i, l := range v.cfg.Layouts {
		v.checkUnique(layouts, elementPath("layouts", i)+".name", l.Name)
		shards := firstUse[string]{}
		for j, s := range l.Shards {
			v.checkUnique(shards, shardPath(i, j)+".name", s.Name)
		}
	}
	versions := firstUse[string]{}
	for i, s := range v.cfg.Snapshots {
		v.checkUnique(versions, elementPath("snapshots", i)+".version", versionText(s.Version))
	}
	routes := firstUse[string]{}
	for i, r := range v.cfg.Routes {
		v.checkUnique(routes, elementPath("routes", i)+".name", r.Name)
	}
}

// checkUniqueInGroups checks that names of services and servers are unique across all groups, because
// sub-requests and ownership refer to them without their group.
func (v *validator) checkUniqueInGroups() {
	groups, services, servers := firstUse[string]{}, firstUse[string]{}, firstUse[string]{}
	addresses := firstUse[netip.AddrPort]{}
	for i, g := range v.cfg.Groups {
		v.checkUnique(groups, elementPath("groups", i)+".name", g.Name)
		for j, s := range g.Services {
			v.checkUnique(services, servicePath(i, j)+".name", s.Name)
			for k, srv := range s.Servers {
				v.checkUnique(servers, serverPath(i, j, k)+".name", srv.Name)
				v.checkUniqueAddress(addresses, serverPath(i, j, k)+".address", srv.Address)
			}
		}
	}
}

// checkUniqueAddress adds an error if the address is already in use. Two servers at one address would
// each be given the full limits of an upstream.
func (v *validator) checkUniqueAddress(seen firstUse[netip.AddrPort], path string, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	canonical := netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if first, duplicate := seen.recordUse(canonical, path); duplicate {
		v.addError(result.DuplicateName, path, a.String(), "an address other than that of "+first)
	}
}

// nameSet is the set of names that a field may refer to.
type nameSet map[string]bool

// checkReference adds an error if the name is given but not in the set. An empty set is skipped: the
// list that should define the names is then reported instead of each reference.
func (v *validator) checkReference(names nameSet, path, name, allowed string) {
	if name == "" || len(names) == 0 || names[name] {
		return
	}
	v.addError(result.DanglingName, path, name, allowed)
}

// namesOf returns the non-empty names of the items of a list.
func namesOf[T any](list []T, name func(T) string) nameSet {
	names := nameSet{}
	for _, v := range list {
		names[name(v)] = true
	}
	delete(names, "")
	return names
}

// checkReferences checks that every reference between items names an existing one.
func (v *validator) checkReferences() {
	zones := namesOf(v.cfg.Zones, func(z Zone) string { return z.Name })
	for i, g := range v.cfg.Groups {
		for j, s := range g.Services {
			for k, srv := range s.Servers {
				v.checkReference(zones, serverPath(i, j, k)+".zone", srv.Zone, "the name of a zone")
			}
		}
	}
	v.checkShardReferences()
	layouts := namesOf(v.cfg.Layouts, func(l Layout) string { return l.Name })
	for i, s := range v.cfg.Snapshots {
		v.checkReference(layouts, elementPath("snapshots", i)+".layout", s.Layout, "the name of a layout")
	}
	versions := namesOf(v.cfg.Snapshots, func(s Snapshot) string { return versionText(s.Version) })
	v.checkReference(versions, "current-snapshot", versionText(v.cfg.CurrentSnapshot), "the version of a snapshot")
	groups := v.groupNames()
	for i, r := range v.cfg.Routes {
		for j, g := range r.Groups {
			v.checkReference(groups, elementPath(elementPath("routes", i)+".groups", j), g, "the name of a group")
		}
	}
}

func (v *validator) checkShardReferences() {
	groups := v.groupNames()
	services := map[string]nameSet{}
	for _, g := range v.cfg.Groups {
		services[g.Name] = namesOf(g.Services, func(s Service) string { return s.Name })
	}
	for i, l := range v.cfg.Layouts {
		for j, s := range l.Shards {
			v.checkReference(groups, shardPath(i, j)+".group", s.Group, "the name of a group")
			v.checkReference(services[s.Group], shardPath(i, j)+".service", s.Service, "the name of a service of the shard's group")
		}
	}
}

func (v *validator) groupNames() nameSet {
	return namesOf(v.cfg.Groups, func(g Group) string { return g.Name })
}

// versionText returns a snapshot version as a name, which is empty for a missing version.
func versionText(v uint64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatUint(v, 10)
}
