package ceiling

import "math"

// ErlangC returns the probability that a request has to wait at c slots with one queue, at an offered load of a slots (M/M/c). It is 1
// at a load of c and above.
func ErlangC(c int, a float64) float64 {
	if a >= float64(c) {
		return 1
	}
	blocking := 1.0 // Erlang B, by recursion over the slots
	for i := 1; i <= c; i++ {
		blocking = a * blocking / (float64(i) + a*blocking)
	}
	utilization := a / float64(c)
	return blocking / (1 - utilization*(1-blocking))
}

// queueing is the steady state of slots with one queue.
type queueing struct {
	waits float64 // probability that a request waits
	drain float64 // rate of the exponential wait of those that do, per second
}

// newQueueing returns the state of c slots at a utilization below 1, where a request takes service seconds.
func newQueueing(c int, utilization, service float64) queueing {
	slots := float64(c)
	return queueing{waits: ErlangC(c, utilization*slots), drain: slots * (1 - utilization) / service}
}

// within returns the probability that wait and an exponential service time of the given mean take at most t seconds.
func (q queueing) within(t, service float64) float64 {
	nu := 1 / service
	if math.Abs(q.drain-nu) < 1e-6*nu {
		nu *= 1 + 1e-6 // the two terms below cancel at equal rates; the limit is continuous
	}
	waited := (q.drain*math.Exp(-nu*t) - nu*math.Exp(-q.drain*t)) / (q.drain - nu)
	return 1 - (1-q.waits)*math.Exp(-nu*t) - q.waits*waited
}
