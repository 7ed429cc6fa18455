package settings

import "time"

// Millis is a duration in milliseconds.
type Millis int64

// Duration returns the duration as a time.Duration.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// Seconds is a duration in seconds.
type Seconds int64

// Duration returns the duration as a time.Duration.
func (seconds Seconds) Duration() time.Duration {
	return time.Duration(seconds) * time.Second
}

// Days is a duration in days of 24 hours.
type Days int64

// Duration returns the duration as a time.Duration.
func (days Days) Duration() time.Duration {
	return time.Duration(days) * 24 * time.Hour
}
