package limit

import "time"

// minRetryAfter is the least time after which a refused caller is told to come
// back.
const minRetryAfter = 100 * time.Millisecond

// forecast is how fast places come free.
type forecast struct {
	firstFree     time.Duration // until the first place comes free
	perSecond     float64       // places that come free each second now; 0 when not known
	rampRemaining time.Duration // until a cold server has its whole window
	warmPerSecond float64       // places that come free each second from then on
}

// slotAfter returns the expected time until the place for the entry at a position
// comes free; position 0 is the next to be granted.
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

// forecast forecasts from how long the requests in flight have held their places. A
// server that stopped answering thus slows the forecast before anything ends.
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
	rate := int64(0) // per second, as a whole number that no order of adding changes
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

// rateScale is the part of a place a second that the forecast counts in.
const rateScale = 1e6

// expectedStart forecasts when a new entry would be granted a place.
func (q *Queue) expectedStart(now time.Time, entry Entry) time.Time {
	return now.Add(q.forecast(now).slotAfter(q.shares.position(entry)))
}

// drainDuration is when the queue as it stands will be empty.
func (q *Queue) drainDuration(now time.Time) time.Duration {
	return max(q.forecast(now).slotAfter(q.shares.queued), minRetryAfter)
}

// shed refuses waiting entries that cannot be served in time, in the order in
// which they would be granted.
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
