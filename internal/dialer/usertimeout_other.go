//go:build !linux

package dialer

import (
	"net"
	"time"
)

// SetUserTimeout does nothing on systems without TCP_USER_TIMEOUT.
func SetUserTimeout(*net.Dialer, time.Duration) {}
