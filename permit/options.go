package permit

import "time"

// Settings bound how long and how many permits are remembered.
type Settings struct {
	Lifetime   time.Duration // time after issue in which a permit can be consumed
	Retention  time.Duration // time after expiry for which a permit and its outcome are remembered
	MaxPermits int           // permits held at a time
}

// DefaultSettings returns the usual settings. The limit allows 180 permits a second over the 90 s
// for which each one is held, and takes about 5 MB.
func DefaultSettings() Settings {
	return Settings{Lifetime: 30 * time.Second, Retention: time.Minute, MaxPermits: 1 << 14}
}
