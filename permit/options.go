package permit

import "time"

// Settings determines how long permits are held, and how many.
type Settings struct {
	Lifetime   time.Duration // time after issue during which a permit can be consumed
	Retention  time.Duration // time after expiry for which a permit and its outcome are kept
	MaxPermits int           // maximum number of permits in the table
}

// DefaultSettings returns the default settings. The table can hold 180 permits per second for the 90 s that each one is
// kept. A full table takes about 5 MB.
func DefaultSettings() Settings {
	return Settings{Lifetime: 30 * time.Second, Retention: time.Minute, MaxPermits: 1 << 14}
}
