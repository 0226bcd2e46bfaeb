package permit

import "time"

// Settings determines how long permits are held, and how many.
type Settings struct {
	Lifetime time.Duration // time after issue during which a permit can be consumed
	Keep     time.Duration // time after expiry for which a permit and its outcome are kept
	Limit    int           // maximum number of permits in the table
}

// DefaultSettings returns the default settings. The table can hold 180 permits per second for the 90 s that each one is
// kept. A full table takes about 5 MB.
func Defaults() Settings {
	return Settings{Lifetime: 30 * time.Second, Keep: time.Minute, Limit: 1 << 14}
}
