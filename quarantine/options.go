package quarantine

import "time"

// Settings bound the crashes of a fingerprint and the memory of them.
type Settings struct {
	CrashThreshold     int           // suspected crashes that quarantine a fingerprint, at least 1
	QuarantineDuration time.Duration // length of a quarantine
	GoodTTL            time.Duration // time for which a success makes a fingerprint known good
	CrashWindow        time.Duration // least time for which a suspected crash counts, whatever succeeds after it
	MaxFingerprints    int           // fingerprints held at a time
}

// DefaultSettings returns the usual settings. The limit takes about 4 MB.
func DefaultSettings() Settings {
	return Settings{CrashThreshold: 2, QuarantineDuration: time.Minute, GoodTTL: 10 * time.Minute, CrashWindow: time.Minute, MaxFingerprints: 1 << 14}
}

const (
	// secondCanaryAfter is above the usual time of a shard result, so that a second canary request
	// is given only as a hedge of a slow first one.
	secondCanaryAfter = 50 * time.Millisecond

	// reportMargin is the time after a canary request's deadline in which its report arrives; it
	// covers the replacement of one silent peer connection (600 ms).
	reportMargin = time.Second

	// longestCanary caps the deadline of a canary request, so that a wrong one does not hold up
	// its fingerprint; the longest attempt deadline is 2.5 s.
	longestCanary = 5 * time.Second

	// lostRefuse is the length of a quarantine that rests on missing reports. It is short, because
	// a partition or a replaced VM is a likelier reason for them than a crash.
	lostRefuse = 10 * time.Second

	// ordinaryTail is the time after which no run of a fingerprint believed good is under way any
	// more: the longest attempt deadline (2.5 s) and time for its report.
	ordinaryTail = 3 * time.Second

	// lateReport is the time for which the report of a canary request that no longer counts is told
	// apart from those of later ones. VMs drop reports that are older.
	lateReport = 20 * time.Second

	// fullRetry is the time after which a request that found the table full asks again.
	fullRetry = time.Second
)
