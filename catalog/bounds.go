package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"pistachioshore.dev/result"
)

// Bounds of durations.
const (
	// MaxConnectTime bounds the usual time to open a connection to a server.
	MaxConnectTime = time.Second
	// MinDeadline is the shortest route deadline that leaves time for a sub-request after both hop margins.
	MinDeadline = 10 * time.Millisecond
	// MaxDeadline bounds route deadlines, so that all work of a stopped owner VM has ended before
	// the takeover delay of 3 s: 2.5 s, one heartbeat interval of 0.2 s and 0.3 s of slack.
	MaxDeadline = 2500 * time.Millisecond
)

// connectionShares is the number of owner VMs that may hold connections to one server at a time:
// the two VMs that a zone needs at least, and one that is joining.
const connectionShares = 3

// MinConnections returns the fewest connections that a server with that many slots must accept:
// each owner VM may hold one for each slot and one that replaces a silent one.
func MinConnections(slots int) int {
	return connectionShares * (slots + 1)
}

func (c *checker) groupBounds() {
	for i, g := range c.cfg.Groups {
		path := at("groups", i)
		c.duration(path+".connect-time", g.ConnectTime, 0, MaxConnectTime)
		if g.Slots <= 0 {
			continue
		}
		if g.ColdLimit > g.Slots {
			c.add(result.OutOfRange, path+".cold-limit", strconv.Itoa(g.ColdLimit), fmt.Sprintf("1 to the %d slots", g.Slots))
		}
		if least := MinConnections(g.Slots); g.MaxConnections > 0 && g.MaxConnections < least {
			c.add(result.OutOfRange, path+".connections", strconv.Itoa(g.MaxConnections),
				fmt.Sprintf("at least %d for %d slots", least, g.Slots))
		}
	}
}

func (c *checker) routeBounds() {
	for i, r := range c.cfg.Routes {
		path := at("routes", i)
		c.duration(path+".deadline", r.Deadline, MinDeadline, MaxDeadline)
		if r.Deadline > 0 {
			c.duration(path+".straggler-wait", r.StragglerWait, 0, r.Deadline)
		}
		if !r.Idempotent && r.HedgeBudget > 0 {
			c.add(result.OutOfRange, path+".hedge-budget", strconv.FormatFloat(r.HedgeBudget, 'g', -1, 64),
				"0 for a route that is not idempotent")
		}
	}
}

func (c *checker) duration(path string, d, least, most time.Duration) {
	if d < least || d > most {
		c.add(result.OutOfRange, path, d.String(), least.String()+" to "+most.String())
	}
}

// keyRanges checks that no key of a group belongs to two shards of a layout, because its records
// would be counted twice.
func (c *checker) keyRanges() {
	for i, l := range c.cfg.Layouts {
		ranges := map[string][]keyRange{}
		var groups []string
		for j, s := range l.Shards {
			if s.To != "" && s.From >= s.To {
				c.add(result.OutOfRange, shardAt(i, j)+".to", s.To, "a key above "+strconv.Quote(s.From))
				continue
			}
			if ranges[s.Group] == nil {
				groups = append(groups, s.Group)
			}
			ranges[s.Group] = append(ranges[s.Group], keyRange{Shard: s, index: j})
		}
		for _, g := range groups {
			c.overlaps(i, ranges[g])
		}
	}
}

// keyRange is a shard with its place in the layout.
type keyRange struct {
	Shard
	index int
}

// overlaps compares each range with the one before it that reaches furthest.
func (c *checker) overlaps(layout int, ranges []keyRange) {
	slices.SortStableFunc(ranges, func(a, b keyRange) int { return cmp.Compare(a.From, b.From) })
	furthest := ranges[0]
	for _, r := range ranges[1:] {
		if furthest.To == "" || r.From < furthest.To {
			c.add(result.OutOfRange, shardAt(layout, r.index)+".from", r.From,
				"a key outside the range of "+shardAt(layout, furthest.index))
		}
		if furthest.To != "" && (r.To == "" || r.To > furthest.To) {
			furthest = r
		}
	}
}
