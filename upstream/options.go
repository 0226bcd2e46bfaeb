package upstream

import "time"

// Settings are the times that a table goes by.
type Settings struct {
	FenceAfter     time.Duration // no work is released when the last tick is older
	MaxIdleTime    time.Duration // idle connections older than this are closed
	DeadlineMargin time.Duration // time past its deadline for which an attempt of unknown outcome counts as running
}

// DefaultSettings returns the settings of a running VM.
//
// The margin exists because an upstream that gives up at the deadline by its own timer may do so
// some milliseconds after the owner VM has.
func DefaultSettings() Settings {
	return Settings{FenceAfter: time.Second, MaxIdleTime: 30 * time.Second, DeadlineMargin: 20 * time.Millisecond}
}
