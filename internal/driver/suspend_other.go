//go:build !linux

package driver

import "time"

// suspendedTime returns 0, since the suspended time is unknown on this system.
func suspendedTime() time.Duration { return 0 }
