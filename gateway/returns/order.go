package returns

import "time"

// Order is the place of a request within its priority, among those that can be answered in time and among those that
// cannot: lower goes first.
type Order int

// Orders of requests. The zero value is that of first attempts, and of all requests on sites that are not mixed.
const (
	WaitedAsTold   Order = -1
	FirstAttempt   Order = 0
	ReturnedAtOnce Order = 1
)

// OrderOf returns the order of a caller that made its first attempt some time ago; 0: this is the first, or it is not
// known. leastDelay is the least delay that a refusal states. The number of its earlier attempts is not known, but a
// caller that returns has made one at least: less than leastDelay proves that it did not wait, more does not prove that
// it did.
func OrderOf(waited, leastDelay time.Duration) Order {
	switch {
	case waited <= 0:
		return FirstAttempt
	case waited < leastDelay:
		return ReturnedAtOnce
	}
	return WaitedAsTold
}
