package upstream

import "time"

// Settings are the timeouts of a table.
type Settings struct {
	FenceAfter     time.Duration // no job starts while the last tick is older than this
	MaxIdleTime    time.Duration // connections that are idle for longer are closed
	DeadlineMargin time.Duration // an attempt of unknown outcome counts as running for this long past its deadline
}

// DefaultSettings returns the default settings.
//
// The deadline margin covers an upstream that aborts a request by its own timer some milliseconds
// after the owner VM's deadline.
func DefaultSettings() Settings {
	return Settings{FenceAfter: time.Second, MaxIdleTime: 30 * time.Second, DeadlineMargin: 20 * time.Millisecond}
}
