package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"pistachioshore.dev/result"
)

// Bounds of configured durations.
const (
	// MaxConnectTime is the longest allowed time to open a connection to a server.
	MaxConnectTime = time.Second
	// MinDeadline is the shortest route deadline that leaves time for a sub-request after both hops have subtracted
	// budget.ReplyMargin.
	MinDeadline = 10 * time.Millisecond
	// MaxDeadline is the longest route deadline. It ensures that all work of a stopped owner VM has
	// ended before the takeover delay of 3 s, which consists of these 2.5 s, one heartbeat interval of
	// 0.2 s and 0.3 s of slack.
	MaxDeadline = 2500 * time.Millisecond
)

// maxOwnerVMs is the number of VMs that may hold connections to one server at the same time: the
// minimum of two VMs in a zone, and one that is joining.
const maxOwnerVMs = 3

// MinConnections returns the minimum number of connections that a server with the given slots must
// accept. Each owner VM may hold one per slot, and one to replace a silent connection.
func MinConnections(slots int) int {
	return maxOwnerVMs * (slots + 1)
}

func (v *validator) checkGroupBounds() {
	for i, g := range v.cfg.Groups {
		path := elementPath("groups", i)
		v.checkDuration(path+".connect-time", g.ConnectTime, 0, MaxConnectTime)
		if g.Slots <= 0 {
			continue
		}
		if g.ColdLimit > g.Slots {
			v.addError(result.OutOfRange, path+".cold-limit", strconv.Itoa(g.ColdLimit), fmt.Sprintf("1 to the %d slots", g.Slots))
		}
		if minimum := MinConnections(g.Slots); g.MaxConnections > 0 && g.MaxConnections < minimum {
			v.addError(result.OutOfRange, path+".connections", strconv.Itoa(g.MaxConnections),
				fmt.Sprintf("at least %d for %d slots", minimum, g.Slots))
		}
	}
}

func (v *validator) checkRouteBounds() {
	for i, r := range v.cfg.Routes {
		path := elementPath("routes", i)
		v.checkDuration(path+".deadline", r.Deadline, MinDeadline, MaxDeadline)
		if r.Deadline > 0 {
			v.checkDuration(path+".straggler-wait", r.StragglerWait, 0, r.Deadline)
		}
		if !r.Idempotent && r.HedgeBudget > 0 {
			v.addError(result.OutOfRange, path+".hedge-budget", strconv.FormatFloat(r.HedgeBudget, 'g', -1, 64),
				"0 for a route that is not idempotent")
		}
	}
}

// checkDuration adds an error if d is out of range.
func (v *validator) checkDuration(path string, d, lower, upper time.Duration) {
	if d < lower || d > upper {
		v.addError(result.OutOfRange, path, d.String(), lower.String()+" to "+upper.String())
	}
}

// checkKeyRanges checks that no key of a group belongs to two shards of a layout. Records in
// overlapping ranges would be counted twice.
func (v *validator) checkKeyRanges() {
	for i, l := range v.cfg.Layouts {
		ranges := map[string][]keyRange{}
		var groups []string
		for j, s := range l.Shards {
			if s.To != "" && s.From >= s.To {
				v.addError(result.OutOfRange, shardPath(i, j)+".to", s.To, "a key above "+strconv.Quote(s.From))
				continue
			}
			if ranges[s.Group] == nil {
				groups = append(groups, s.Group)
			}
			ranges[s.Group] = append(ranges[s.Group], keyRange{Shard: s, index: j})
		}
		for _, g := range groups {
			v.checkOverlaps(i, ranges[g])
		}
	}
}

// keyRange is a shard with its index in the layout.
type keyRange struct {
	Shard
	index int
}

// checkOverlaps adds an error for each key range that overlaps an earlier one. It compares each range
// with the preceding range that extends furthest.
func (v *validator) checkOverlaps(layout int, ranges []keyRange) {
	slices.SortStableFunc(ranges, func(a, b keyRange) int { return cmp.Compare(a.From, b.From) })
	furthest := ranges[0]
	for _, r := range ranges[1:] {
		if furthest.To == "" || r.From < furthest.To {
			v.addError(result.OutOfRange, shardPath(layout, r.index)+".from", r.From,
				"a key outside the range of "+shardPath(layout, furthest.index))
		}
		if furthest.To != "" && (r.To == "" || r.To > furthest.To) {
			furthest = r
		}
	}
}
