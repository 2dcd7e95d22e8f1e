package limit

import "time"

// overloadFactor is what is left of the window after the server said that it is
// overloaded.
const overloadFactor = 0.7

// window is how many requests a server may hold now: its configured limit,
// less while it is cold or has said that it is overloaded.
type window struct {
	limit     int
	ramp      time.Duration // time from cold to the whole limit; 0 for none
	coldSince time.Time
	adaptive  float64 // 0 means not reduced
}

// size returns the window at a time; never below 1.
func (w *window) size(now time.Time) int {
	size := w.warmSize()
	if since := now.Sub(w.coldSince); since < w.ramp {
		grown := 1 + float64(w.limit-1)*float64(max(since, 0))/float64(w.ramp)
		size = min(size, int(grown))
	}
	return size
}

// warmSize returns the window without the ramp; never below 1.
func (w *window) warmSize() int {
	size := w.limit
	if w.adaptive > 0 {
		size = min(size, int(w.adaptive))
	}
	return max(size, 1)
}

// rampRemaining is how long a cold server takes until it has its whole window.
func (w *window) rampRemaining(now time.Time) time.Duration {
	return max(w.ramp-now.Sub(w.coldSince), 0)
}

// reduce reduces the window after the server refused a request while it
// held that many.
func (w *window) reduce(now time.Time, held int) {
	size := min(float64(w.size(now)), float64(held))
	w.adaptive = max(size*overloadFactor, 1)
}

// recover lets a reduced window grow by about one for each windowful of answers.
func (w *window) recover() {
	if w.adaptive == 0 {
		return
	}
	w.adaptive += 1 / w.adaptive
	if w.adaptive >= float64(w.limit) {
		w.adaptive = 0
	}
}
