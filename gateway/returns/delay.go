package returns

import (
	"math/rand/v2"
	"time"
)

const (
	// MinDelay is the least delay that is stated to a refused caller: one or two requests could have ended by then.
	MinDelay = 100 * time.Millisecond
	// MaxDelay is the longest one: most callers have time left after it.
	MaxDelay = 2 * time.Second
)

// Delay returns the delay stated to a caller that would have had to wait for some time, where no schedule decides. It is
// randomized so that callers that were refused together do not return together.
func Delay(wait time.Duration, random *rand.Rand) time.Duration {
	after := max(MinDelay, wait/2)
	after += time.Duration(random.Int64N(int64(after)))
	return min(after, MaxDelay)
}
