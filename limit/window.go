package limit

import "time"

// overloadFactor is the factor by which the window shrinks after the server
// reported that it is overloaded.
const overloadFactor = 0.7

// window determines how many requests a server may hold now: its configured
// limit, reduced while the server is cold or after it reported an overload.
type window struct {
	limit     int
	ramp      time.Duration // time from cold to the full limit; 0 for none
	coldSince time.Time
	adaptive  float64 // size after overloads; 0 means not reduced
}

// size returns the window at a time. It is at least 1.
func (w *window) size(now time.Time) int {
	size := w.warmSize()
	if since := now.Sub(w.coldSince); since < w.ramp {
		grown := 1 + float64(w.limit-1)*float64(max(since, 0))/float64(w.ramp)
		size = min(size, int(grown))
	}
	return size
}

// warmSize returns the window without the effect of the ramp. It is at least 1.
func (w *window) warmSize() int {
	size := w.limit
	if w.adaptive > 0 {
		size = min(size, int(w.adaptive))
	}
	return max(size, 1)
}

// rampRemaining returns the time until a cold server has its full window.
func (w *window) rampRemaining(now time.Time) time.Duration {
	return max(w.ramp-now.Sub(w.coldSince), 0)
}

// reduce reduces the window after the server refused a request while it held
// the given number of requests.
func (w *window) reduce(now time.Time, held int) {
	size := min(float64(w.size(now)), float64(held))
	w.adaptive = max(size*overloadFactor, 1)
}

// recover increases a reduced window after a served request. The window grows by
// about one for each full window of served requests.
func (w *window) recover() {
	if w.adaptive == 0 {
		return
	}
	w.adaptive += 1 / w.adaptive
	if w.adaptive >= float64(w.limit) {
		w.adaptive = 0
	}
}
