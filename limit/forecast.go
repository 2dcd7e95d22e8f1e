package limit

import "time"

// minRetryAfter is the shortest retry delay that is sent to a refused caller.
const minRetryAfter = 100 * time.Millisecond

// forecast describes the rate at which slots are expected to become free.
type forecast struct {
	firstFree     time.Duration // until the first slot becomes free
	perSecond     float64       // slots that become free per second now; 0 when not known
	rampRemaining time.Duration // until a cold server has its full window
	warmPerSecond float64       // slots that become free per second from then on
}

// slotAfter returns the expected time until the slot for the entry at a position
// becomes free. Position 0 is the next entry to be granted a slot.
func (p forecast) slotAfter(position int) time.Duration {
	if p.perSecond == 0 {
		return 0
	}
	slots := float64(position)
	whileCold := p.perSecond * max(p.rampRemaining-p.firstFree, 0).Seconds()
	if slots <= whileCold || p.warmPerSecond <= p.perSecond {
		return p.firstFree + seconds(slots/p.perSecond)
	}
	return max(p.firstFree, p.rampRemaining) + seconds((slots-whileCold)/p.warmPerSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// forecast computes the forecast from how long the requests in flight have held
// their slots. The forecast of a server that no longer responds therefore becomes
// slower before any of its requests ends.
func (q *Queue) forecast(now time.Time) forecast {
	mean := q.estimate.Mean()
	if mean <= 0 {
		return forecast{}
	}
	var result forecast
	free := q.window.size(now) - len(q.inFlight)
	if free <= 0 {
		result.firstFree = -1
	}
	rate := int64(0) // per second; an integer, so that the sum does not depend on map order
	for _, held := range q.inFlight {
		residual := q.estimate.Residual(now.Sub(held.since))
		if free <= 0 && (result.firstFree < 0 || residual < result.firstFree) {
			result.firstFree = residual
		}
		rate += int64(rateScale / max(residual, mean).Seconds())
	}
	result.perSecond = float64(rate) / rateScale
	if free > 0 {
		result.perSecond += float64(free) / mean.Seconds()
	}
	result.rampRemaining = q.window.rampRemaining(now)
	blocked := q.window.warmSize() - q.window.size(now)
	result.warmPerSecond = result.perSecond + float64(blocked)/mean.Seconds()
	return result
}

// rateScale is the number of integer units in a rate of one slot per second.
const rateScale = 1e6

// expectedStart returns the expected time at which a new entry is granted a slot.
func (q *Queue) expectedStart(now time.Time, entry Entry) time.Time {
	return now.Add(q.forecast(now).slotAfter(q.shares.position(entry)))
}

// drainDuration returns the expected time until the queue is empty if no further
// entries are added, but at least minRetryAfter.
func (q *Queue) drainDuration(now time.Time) time.Duration {
	return max(q.forecast(now).slotAfter(q.shares.queued), minRetryAfter)
}

// shed refuses waiting entries that cannot be served before their deadline. It
// examines them in the order in which they would be granted a slot.
func (q *Queue) shed(now time.Time, changes *Changes) {
	if q.shares.queued == 0 {
		return
	}
	expected := q.forecast(now)
	minBusy := q.estimate.MinBusy()
	refusal := q.tooLate(now)
	position := 0
	q.shares.filter(func(entry Entry) bool {
		start := now.Add(expected.slotAfter(position))
		if start.Add(minBusy).Before(entry.Deadline) {
			position++
			return true
		}
		changes.refuse(entry.ID, refusal)
		return false
	})
}
