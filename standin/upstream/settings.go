package upstream

import (
	"strconv"
	"time"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
)

// Loader returns the records of a shard in a snapshot; false means that the shard is unknown.
type Loader func(shard string, snapshot uint64) ([]record.Record, bool)

// Settings describe one upstream; zero values of the optional ones mean what their comments say.
type Settings struct {
	Name           string
	Zone           string
	Incarnation    string        // prefix of the incarnations; the time of the start if empty
	Slots          int           // requests that run at a time; 1 if zero
	QueueLimit     int           // requests that wait for a slot; further ones are shed
	MaxConnections int           // connections held at a time; no limit if zero
	ConnectTime    time.Duration // until a new connection is served
	ColdLimit      int           // requests that it bears at a time while cold; the slots if zero
	WarmAfter      int           // finished requests after which it is warm; never cold if zero
	WarmTime       time.Duration // time after which it is warm in any case; no such time if zero
	RestartTime    time.Duration // connections are refused for so long after a crash
	ServiceTime    time.Duration // mean time that one request runs
	Spread         float64       // standard deviation of the logarithm of the service time
	Seed           uint64
	Snapshots      []uint64 // versions held; all that the loader knows if empty
	MaxLogEntries  int      // entries of each list of the counts; 50,000 if zero
}

// defaultLogLimit keeps the lists of about 120 upstreams in one process below 1 GB.
const defaultLogLimit = 50_000

func (s Settings) withDefaults(now time.Time) Settings {
	if s.Incarnation == "" {
		s.Incarnation = strconv.FormatInt(now.UnixNano(), 36)
	}
	s.Slots = max(s.Slots, 1)
	if s.ColdLimit == 0 {
		s.ColdLimit = s.Slots
	}
	if s.MaxLogEntries == 0 {
		s.MaxLogEntries = defaultLogLimit
	}
	return s
}

// ForServer returns base with the values that the configuration states for a server.
func ForServer(base Settings, g *catalog.Group, server catalog.Server) Settings {
	base.Name, base.Zone = server.Name, server.Zone
	base.Slots, base.MaxConnections, base.ConnectTime = g.Slots, g.MaxConnections, g.ConnectTime
	base.ColdLimit, base.WarmAfter = g.ColdLimit, g.WarmAfter
	return base
}
