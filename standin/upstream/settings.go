package upstream

import (
	"strconv"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
)

// Loader returns the records of a shard in a snapshot, a numbered version of all records; false means that the
// shard is unknown in that snapshot.
type Loader func(shard string, snapshot uint64) ([]record.Record, bool)

// Settings describe one upstream. After each start an upstream is cold, unless WarmAfter is zero: until it is warm,
// more than ColdLimit running requests overload it.
type Settings struct {
	Name           string
	Zone           string        // availability zone
	Incarnation    string        // prefix of the incarnation IDs; the start time if empty
	Slots          int           // requests that run at a time; 1 if zero
	QueueLimit     int           // requests that can wait for a slot; further ones are refused with 503
	MaxConnections int           // connections open at a time; no limit if zero
	ConnectTime    time.Duration // delay before a new connection is served
	ColdLimit      int           // requests that may run at a time while cold; Slots if zero
	WarmAfter      int           // successful requests until it is warm; never cold if zero
	WarmTime       time.Duration // time after which it is warm in any case; no limit if zero
	RestartTime    time.Duration // connections are refused for this long after a crash
	ServiceTime    time.Duration // mean run time of a request
	Spread         float64       // standard deviation of the logarithm of the service time
	Seed           uint64        // together with Name, seeds the choice of service times, stragglers and shed requests
	Snapshots      []uint64      // snapshot versions it has; all that the loader knows if empty
	MaxLogEntries  int           // entries kept in each list of Counts; 50,000 if zero
}

// defaultMaxLogEntries keeps the logs of about 120 upstreams in one process below 1 GB.
const defaultMaxLogEntries = 50_000

func (s Settings) withDefaults(now time.Time) Settings {
	if s.Incarnation == "" {
		s.Incarnation = strconv.FormatInt(now.UnixNano(), 36)
	}
	s.Slots = max(s.Slots, 1)
	if s.ColdLimit == 0 {
		s.ColdLimit = s.Slots
	}
	if s.MaxLogEntries == 0 {
		s.MaxLogEntries = defaultMaxLogEntries
	}
	return s
}

// ForServer returns base with the values that the configuration sets for a server of group g.
func ForServer(base Settings, g *catalog.Group, server catalog.Server) Settings {
	base.Name, base.Zone = server.Name, server.Zone
	base.Slots, base.MaxConnections, base.ConnectTime = g.Slots, g.MaxConnections, g.ConnectTime
	base.ColdLimit, base.WarmAfter = g.ColdLimit, g.WarmAfter
	return base
}
