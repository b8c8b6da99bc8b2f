//go:build !linux

package dialer

import (
	"net"
	"time"
)

// EndUnacknowledged does nothing on systems without TCP_USER_TIMEOUT.
func EndUnacknowledged(*net.Dialer, time.Duration) {}
