package forward

import "slices"

const (
	// minPartShards is the number of shards below which a part is not worth a message to another VM.
	minPartShards = 3

	// maxPartShards is the number of shards above which a part is divided again, because one VM sends and receives the
	// attempts of a part one after the other.
	maxPartShards = 48
)

// part is a part of a query that one VM fans out.
type part struct {
	zone   string // zone whose aggregator fans it out; empty for this VM
	shards []int  // positions of the shards in the route
}

// partitioner decides which VMs fan out a query.
//
// A part crosses zones once, where its sub-requests would cross for each shard, and the parts share the processor time of
// the query. Each shard goes to a zone that has a usable replica of it: this VM's own zone if possible, and otherwise
// the zones that cover most of the remaining shards.
type partitioner struct {
	zone    string   // zone of this VM
	fansOut bool     // this VM may fan out parts itself
	remote  []string // zones whose aggregators accept parts, in order of preference between equals
}

// partition returns the parts of a query whose shards have usable replicas in the given zones. Shards that no aggregator
// covers are in a part for this VM, or for an aggregator of its zone if it fans out nothing itself: that one has
// connections to the upstreams.
func (p partitioner) partition(zonesOfShards [][]string) []part {
	var local, rest, direct []int
	for i, zones := range zonesOfShards {
		if slices.Contains(zones, p.zone) && (p.fansOut || slices.Contains(p.remote, p.zone)) {
			local = append(local, i)
		} else {
			rest = append(rest, i)
		}
	}
	var parts []part
	for len(rest) > 0 {
		zone, covered, uncovered := p.bestZone(zonesOfShards, rest)
		if len(covered) < minPartShards {
			direct = rest
			break
		}
		parts = append(parts, chunks(zone, covered)...)
		rest = uncovered
	}
	parts = append(parts, p.localParts(local, &direct)...)
	switch {
	case len(direct) == 0:
	case !p.fansOut && slices.Contains(p.remote, p.zone):
		parts = append(parts, chunks(p.zone, direct)...)
	default:
		parts = append(parts, part{shards: direct})
	}
	return parts
}

// localParts returns the parts for aggregators of this VM's zone, and adds the shards that this VM sends itself to
// direct.
func (p partitioner) localParts(local []int, direct *[]int) []part {
	if len(local) == 0 {
		return nil
	}
	if !slices.Contains(p.remote, p.zone) {
		*direct = append(*direct, local...)
		return nil
	}
	parts := chunks(p.zone, local)
	if p.fansOut {
		*direct = append(*direct, parts[0].shards...)
		return parts[1:]
	}
	return parts
}

// bestZone returns the other zone that covers most of the shards, with the shards that it covers and those that it does
// not.
func (p partitioner) bestZone(zonesOfShards [][]string, shards []int) (best string, covered, uncovered []int) {
	counts := map[string]int{}
	for _, i := range shards {
		for _, zone := range zonesOfShards[i] {
			counts[zone]++
		}
	}
	for _, zone := range p.remote {
		if zone != p.zone && counts[zone] > counts[best] {
			best = zone
		}
	}
	for _, i := range shards {
		if best != "" && slices.Contains(zonesOfShards[i], best) {
			covered = append(covered, i)
		} else {
			uncovered = append(uncovered, i)
		}
	}
	return best, covered, uncovered
}

// chunks splits the shards of one zone into parts of at most maxPartShards, of nearly equal size.
func chunks(zone string, shards []int) []part {
	n := (len(shards) + maxPartShards - 1) / maxPartShards
	parts := make([]part, 0, n)
	for i := range n {
		parts = append(parts, part{zone: zone, shards: shards[i*len(shards)/n : (i+1)*len(shards)/n]})
	}
	return parts
}
