package codec

import (
	"strconv"
	"strings"
	"time"

	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/wire"
)

// startSeparator separates the ID of an upstream from its start, in ms since the Unix epoch, in a crash report. VMs reject
// messages with unknown fields, so that the start cannot have a field of its own while VMs of both versions run.
const startSeparator = "@"

// ToWireCrash returns the report of a crash, sent at now.
func ToWireCrash(now time.Time, c quarantine.Crash) *wire.CanaryReport {
	return &wire.CanaryReport{
		Fingerprint: c.Fingerprint, Outcome: quarantine.Crashed.String(), Until: now,
		Upstream: c.Upstream + startSeparator + strconv.FormatInt(c.StartedAt.UnixMilli(), 10),
	}
}

// FromWireCrash returns the reported crash. The start of the upstream is unknown, the zero of Unix time, in the report of a
// VM that does not send it.
func FromWireCrash(r *wire.CanaryReport) quarantine.Crash {
	c := quarantine.Crash{Fingerprint: r.Fingerprint, Upstream: r.Upstream, StartedAt: time.UnixMilli(0)}
	i := strings.LastIndex(r.Upstream, startSeparator)
	if i < 0 {
		return c
	}
	if ms, err := strconv.ParseInt(r.Upstream[i+len(startSeparator):], 10, 64); err == nil {
		c.Upstream, c.StartedAt = r.Upstream[:i], time.UnixMilli(ms)
	}
	return c
}
