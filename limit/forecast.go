package limit

import "time"

// minRetryAfter is the least time after which a refused caller is told to come
// back.
const minRetryAfter = 100 * time.Millisecond

// pace is how fast places come free.
type pace struct {
	first     time.Duration // until the first place comes free
	perSecond float64       // places that come free each second now; 0 when not known
	ramp      time.Duration // until a cold server has its whole window
	warm      float64       // places that come free each second from then on
}

// after returns the expected time until the place for the entry at a position
// comes free; position 0 is the next to be granted.
func (p pace) after(position int) time.Duration {
	if p.perSecond == 0 {
		return 0
	}
	places := float64(position)
	whileCold := p.perSecond * max(p.ramp-p.first, 0).Seconds()
	if places <= whileCold || p.warm <= p.perSecond {
		return p.first + seconds(places/p.perSecond)
	}
	return max(p.first, p.ramp) + seconds((places-whileCold)/p.warm)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pace forecasts from how long the requests in flight have held their places. A
// server that stopped answering thus slows the forecast before anything ends.
func (q *Queue) pace(now time.Time) pace {
	mean := q.estimate.Mean()
	if mean <= 0 {
		return pace{}
	}
	var result pace
	free := q.window.at(now) - len(q.flights)
	if free <= 0 {
		result.first = -1
	}
	places := int64(0) // per second, as a whole number that no order of adding changes
	for _, held := range q.flights {
		residual := q.estimate.Residual(now.Sub(held.since))
		if free <= 0 && (result.first < 0 || residual < result.first) {
			result.first = residual
		}
		places += int64(precision / max(residual, mean).Seconds())
	}
	result.perSecond = float64(places) / precision
	if free > 0 {
		result.perSecond += float64(free) / mean.Seconds()
	}
	result.ramp = q.window.rampLeft(now)
	closed := q.window.warm() - q.window.at(now)
	result.warm = result.perSecond + float64(closed)/mean.Seconds()
	return result
}

// precision is the part of a place a second that the forecast counts in.
const precision = 1e6

// startOf forecasts when a new entry would be granted a place.
func (q *Queue) startOf(now time.Time, entry Entry) time.Time {
	return now.Add(q.pace(now).after(q.shares.position(entry)))
}

// drainTime is when the queue as it stands will be empty.
func (q *Queue) drainTime(now time.Time) time.Duration {
	return max(q.pace(now).after(q.shares.queued), minRetryAfter)
}

// shed refuses waiting entries that cannot be served in time, in the order in
// which they would be granted.
func (q *Queue) shed(now time.Time, changes *Changes) {
	if q.shares.queued == 0 {
		return
	}
	speed := q.pace(now)
	fast := q.estimate.Fast()
	refusal := q.tooLate(now)
	position := 0
	q.shares.filter(func(entry Entry) bool {
		start := now.Add(speed.after(position))
		if start.Add(fast).Before(entry.Deadline) {
			position++
			return true
		}
		changes.refuse(entry.ID, refusal)
		return false
	})
}
