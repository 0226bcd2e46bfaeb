package catalog

import (
	"fmt"
	"strconv"

	"pistachioshore.dev/result"
)

// Validate returns the errors of a configuration that involve more than one field: duplicate and
// dangling names, bounds that depend on other fields, and overlapping key ranges.
//
// The errors depend only on cfg and have a fixed order, so all VMs accept or reject a configuration
// alike. Empty names are skipped, because the decoder already reports missing fields.
func Validate(cfg *Config) []*result.Error {
	c := &checker{cfg: cfg}
	c.uniqueNames()
	c.references()
	c.groupBounds()
	c.keyRanges()
	c.routeBounds()
	return c.faults
}

// checker collects the errors of one configuration.
type checker struct {
	cfg    *Config
	faults []*result.Error
}

func (c *checker) add(code result.Code, path, value, allowed string) {
	c.faults = append(c.faults, result.NewFieldError(code, path, value, allowed))
}

// at returns the path of an element of a list.
func at(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}

func serviceAt(group, service int) string {
	return fmt.Sprintf("groups[%d].services[%d]", group, service)
}

func serverAt(group, service, server int) string {
	return fmt.Sprintf("groups[%d].services[%d].servers[%d]", group, service, server)
}

func shardAt(layout, shard int) string {
	return fmt.Sprintf("layouts[%d].shards[%d]", layout, shard)
}
