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
	v := &validator{cfg: cfg}
	v.checkUniqueNames()
	v.checkReferences()
	v.checkGroupBounds()
	v.checkKeyRanges()
	v.checkRouteBounds()
	return v.errs
}

// validator collects the errors of one configuration.
type validator struct {
	cfg  *Config
	errs []*result.Error
}

func (v *validator) addError(code result.Code, path, value, allowed string) {
	v.errs = append(v.errs, result.NewFieldError(code, path, value, allowed))
}

// elementPath returns the path of an element of a list.
func elementPath(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}

func servicePath(group, service int) string {
	return fmt.Sprintf("groups[%d].services[%d]", group, service)
}

func serverPath(group, service, server int) string {
	return fmt.Sprintf("groups[%d].services[%d].servers[%d]", group, service, server)
}

func shardPath(layout, shard int) string {
	return fmt.Sprintf("layouts[%d].shards[%d]", layout, shard)
}
