package catalog

import (
	"fmt"
	"strconv"

	"pistachioshore.dev/result"
)

// Validate returns the faults of a configuration that no single field shows: names that repeat or
// lead nowhere, bounds that depend on other fields, and key ranges that overlap.
//
// The faults depend on cfg alone and come in a fixed order, so all VMs accept or reject a
// configuration alike. An empty name leads to no fault, because its absence is a fault of its own.
func Validate(cfg *Config) []*result.Error {
	c := &checker{cfg: cfg}
	c.uniqueNames()
	c.references()
	c.groupBounds()
	c.keyRanges()
	c.routeBounds()
	return c.faults
}

// checker collects the faults of one configuration.
type checker struct {
	cfg    *Config
	faults []*result.Error
}

func (c *checker) add(code result.Code, path, value, allowed string) {
	c.faults = append(c.faults, result.NewFieldError(code, path, value, allowed))
}

// at returns the path of one element of a list.
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
