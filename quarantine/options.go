package quarantine

import "time"

// Settings limits the crashes that a fingerprint may cause and the fingerprints that a table holds.
type Settings struct {
	CrashThreshold     int           // suspected crashes after which a fingerprint is quarantined, at least 1
	QuarantineDuration time.Duration // duration of a quarantine
	GoodTTL            time.Duration // time for which a fingerprint is known good after a success
	CrashWindow        time.Duration // minimum time for which a suspected crash counts, regardless of later successes
	MaxFingerprints    int           // maximum number of fingerprints in the table
}

// DefaultSettings returns the default settings. A full table takes about 4 MB.
func DefaultSettings() Settings {
	return Settings{CrashThreshold: 2, QuarantineDuration: time.Minute, GoodTTL: 10 * time.Minute, CrashWindow: time.Minute, MaxFingerprints: 1 << 14}
}

const (
	// secondCanaryDelay exceeds the usual response time of a shard, so that a second canary request is allowed only
	// as a hedge against a slow first one.
	secondCanaryDelay = 50 * time.Millisecond

	// reportMargin is the time allowed for the report of a canary request to arrive after the deadline of the request.
	// It covers the replacement of one unresponsive peer connection (600 ms).
	reportMargin = time.Second

	// maxCanaryDuration limits the deadline of a canary request, so that an invalid one does not block its fingerprint.
	// The longest attempt deadline is 2.5 s.
	maxCanaryDuration = 5 * time.Second

	// lostReportQuarantine is the duration of a quarantine that is based on missing reports. It is short, because a
	// partition or a replaced VM is a more likely cause of a missing report than a crash.
	lostReportQuarantine = 10 * time.Second

	// ordinaryRunTimeout is the time for which ordinary runs may remain in flight after their fingerprint stops being
	// known good. It covers the longest attempt deadline (2.5 s) and the time for the report.
	ordinaryRunTimeout = 3 * time.Second

	// lateReportWindow is the time for which the report of a canary request that no longer counts is distinguished
	// from the reports of later canary requests. VMs drop older reports.
	lateReportWindow = 20 * time.Second

	// fullTableRetry is the time after which a request should retry if the table is full.
	fullTableRetry = time.Second
)
