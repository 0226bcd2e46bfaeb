package catalog

import (
	"net/netip"
	"strconv"

	"pistachioshore.dev/result"
)

// firstUse remembers where each key was used first.
type firstUse[K comparable] map[K]string

// repeated records a use at path; it returns the path of an earlier use of the same key.
func (f firstUse[K]) repeated(key K, path string) (first string, again bool) {
	if first, again = f[key]; !again {
		f[key] = path
	}
	return first, again
}

// unique adds a fault if the name is in use already; names that were not given are skipped.
func (c *checker) unique(seen firstUse[string], path, name string) {
	if name == "" {
		return
	}
	if first, again := seen.repeated(name, path); again {
		c.add(result.DuplicateName, path, name, "a name other than that of "+first)
	}
}

func (c *checker) uniqueNames() {
	zones := firstUse[string]{}
	for i, z := range c.cfg.Zones {
		c.unique(zones, at("zones", i)+".name", z.Name)
	}
	c.uniqueInGroups()
	layouts := firstUse[string]{}
	for i, l := range c.cfg.Layouts {
		c.unique(layouts, at("layouts", i)+".name", l.Name)
		shards := firstUse[string]{}
		for j, s := range l.Shards {
			c.unique(shards, shardAt(i, j)+".name", s.Name)
		}
	}
	versions := firstUse[string]{}
	for i, s := range c.cfg.Snapshots {
		c.unique(versions, at("snapshots", i)+".version", versionText(s.Version))
	}
	routes := firstUse[string]{}
	for i, r := range c.cfg.Routes {
		c.unique(routes, at("routes", i)+".name", r.Name)
	}
}

// uniqueInGroups checks names of services and servers over all groups, because sub-requests and
// ownership refer to them without their group.
func (c *checker) uniqueInGroups() {
	groups, services, servers := firstUse[string]{}, firstUse[string]{}, firstUse[string]{}
	addresses := firstUse[netip.AddrPort]{}
	for i, g := range c.cfg.Groups {
		c.unique(groups, at("groups", i)+".name", g.Name)
		for j, s := range g.Services {
			c.unique(services, serviceAt(i, j)+".name", s.Name)
			for k, srv := range s.Servers {
				c.unique(servers, serverAt(i, j, k)+".name", srv.Name)
				c.uniqueAddress(addresses, serverAt(i, j, k)+".address", srv.Address)
			}
		}
	}
}

// uniqueAddress guards the limits of an upstream: two servers at one address would each get them.
func (c *checker) uniqueAddress(seen firstUse[netip.AddrPort], path string, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	canonical := netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if first, again := seen.repeated(canonical, path); again {
		c.add(result.DuplicateName, path, a.String(), "an address other than that of "+first)
	}
}

// nameSet holds the names that may be referred to.
type nameSet map[string]bool

// refer adds a fault if the name is given but not in the set. An empty set is skipped, because
// then the list that should hold the names is at fault and not each reference.
func (c *checker) refer(names nameSet, path, name, allowed string) {
	if name == "" || len(names) == 0 || names[name] {
		return
	}
	c.add(result.DanglingName, path, name, allowed)
}

func namesOf[T any](list []T, name func(T) string) nameSet {
	names := nameSet{}
	for _, v := range list {
		names[name(v)] = true
	}
	delete(names, "")
	return names
}

func (c *checker) references() {
	zones := namesOf(c.cfg.Zones, func(z Zone) string { return z.Name })
	for i, g := range c.cfg.Groups {
		for j, s := range g.Services {
			for k, srv := range s.Servers {
				c.refer(zones, serverAt(i, j, k)+".zone", srv.Zone, "the name of a zone")
			}
		}
	}
	c.shardReferences()
	layouts := namesOf(c.cfg.Layouts, func(l Layout) string { return l.Name })
	for i, s := range c.cfg.Snapshots {
		c.refer(layouts, at("snapshots", i)+".layout", s.Layout, "the name of a layout")
	}
	versions := namesOf(c.cfg.Snapshots, func(s Snapshot) string { return versionText(s.Version) })
	c.refer(versions, "current-snapshot", versionText(c.cfg.CurrentSnapshot), "the version of a snapshot")
	groups := c.groupNames()
	for i, r := range c.cfg.Routes {
		for j, g := range r.Groups {
			c.refer(groups, at(at("routes", i)+".groups", j), g, "the name of a group")
		}
	}
}

func (c *checker) shardReferences() {
	groups := c.groupNames()
	services := map[string]nameSet{}
	for _, g := range c.cfg.Groups {
		services[g.Name] = namesOf(g.Services, func(s Service) string { return s.Name })
	}
	for i, l := range c.cfg.Layouts {
		for j, s := range l.Shards {
			c.refer(groups, shardAt(i, j)+".group", s.Group, "the name of a group")
			c.refer(services[s.Group], shardAt(i, j)+".service", s.Service, "the name of a service of the shard's group")
		}
	}
}

func (c *checker) groupNames() nameSet {
	return namesOf(c.cfg.Groups, func(g Group) string { return g.Name })
}

// versionText returns a snapshot version as a name; a version that was not given is empty.
func versionText(v uint64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatUint(v, 10)
}
