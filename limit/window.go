package limit

import "time"

// overloadShare is what is left of the window after the server said that it is
// overloaded.
const overloadShare = 0.7

// window is how many requests a server may hold now: its configured limit,
// less while it is cold or has said that it is overloaded.
type window struct {
	limit     int
	ramp      time.Duration // time from cold to the whole limit; 0 for none
	coldSince time.Time
	adaptive  float64 // 0 means not reduced
}

// at returns the window at a time; never below 1.
func (w *window) at(now time.Time) int {
	size := w.limit
	if w.adaptive > 0 {
		size = min(size, int(w.adaptive))
	}
	if warm := now.Sub(w.coldSince); warm < w.ramp {
		grown := 1 + float64(w.limit-1)*float64(max(warm, 0))/float64(w.ramp)
		size = min(size, int(grown))
	}
	return max(size, 1)
}

// warmAt returns when the window next grows by the ramp, if it does.
func (w *window) warmAt(now time.Time) (time.Time, bool) {
	warm := now.Sub(w.coldSince)
	if warm >= w.ramp || w.limit <= 1 {
		return time.Time{}, false
	}
	step := w.ramp / time.Duration(w.limit-1)
	steps := warm/step + 1
	return w.coldSince.Add(steps * step), true
}

// overloaded reduces the window after the server refused a request while it
// held that many.
func (w *window) overloaded(now time.Time, held int) {
	size := min(float64(w.at(now)), float64(held))
	w.adaptive = max(size*overloadShare, 1)
}

// served lets a reduced window grow by about one for each windowful of answers.
func (w *window) served() {
	if w.adaptive == 0 {
		return
	}
	w.adaptive += 1 / w.adaptive
	if w.adaptive >= float64(w.limit) {
		w.adaptive = 0
	}
}
