package driver

import "time"

// maxClockDrift is the change of the time of day against the steady clock from which the
// machine may have been suspended. The time of day may also have been set.
const maxClockDrift = 100 * time.Millisecond

// suspension finds out for how long the machine was suspended. The steady clock, by which
// Go measures, leaves that time out. It is not safe for concurrent use.
type suspension struct {
	// startedAt is a reading of both clocks; drift is how much further the time of day has
	// come since then.
	startedAt time.Time
	drift     time.Duration
	// total is the suspended time since the machine started, as of the last reading.
	total time.Duration
	// read returns the suspended time since the machine started.
	read func() time.Duration
}

func newSuspension(now time.Time, read func() time.Duration) *suspension {
	return &suspension{startedAt: now, total: read(), read: read}
}

// since returns for how long the machine was suspended since the last call. It reads the
// suspended time only if the time of day has moved against the steady clock.
func (s *suspension) since(now time.Time) time.Duration {
	drift := now.Round(0).Sub(s.startedAt.Round(0)) - now.Sub(s.startedAt)
	if (drift - s.drift).Abs() < maxClockDrift {
		return 0
	}
	s.drift = drift
	total := s.read()
	suspended := total - s.total
	s.total = total
	if suspended < maxClockDrift {
		return 0
	}
	return suspended.Round(time.Millisecond)
}
