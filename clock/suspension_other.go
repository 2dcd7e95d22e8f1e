//go:build !linux

package clock

import "time"

// suspension returns 0 because this system does not report suspensions.
func suspension() time.Duration { return 0 }
