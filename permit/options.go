package permit

import "time"

// Settings bound how long and how many permits are remembered.
type Settings struct {
	Lifetime time.Duration // time after issue in which a permit can be consumed
	Keep     time.Duration // time after expiry for which a permit and its outcome are remembered
	Limit    int           // permits held at a time
}

// Defaults returns the usual settings. The limit allows 180 permits a second over the 90 s
// for which each one is held, and takes about 5 MB.
func Defaults() Settings {
	return Settings{Lifetime: 30 * time.Second, Keep: time.Minute, Limit: 1 << 14}
}
