//go:build !linux

package clock

import "time"

// suspension is unknown on this system.
func suspension() time.Duration { return 0 }
