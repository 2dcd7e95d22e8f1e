package lessor

import "time"

// delayWindow is for how long, at least, a delay of this process counts.
const delayWindow = 3 * time.Second

// maxDelayLeases is how many times a lease's length a delay counts at most: an ended lessor is
// suspected within that.
const maxDelayLeases = 2

// schedulingDelay is by how much this process was late lately, for want of processor time. It then
// hears answers late as well, and what it takes for the silence of others may be its own.
type schedulingDelay struct {
	began             time.Duration // of the present window
	present, previous time.Duration // the longest delay in a window
}

// note takes by how much a timer fired late.
func (d *schedulingDelay) note(now, late time.Duration) {
	d.rotate(now)
	d.present = max(d.present, late)
}

// recent returns the longest delay lately.
func (d *schedulingDelay) recent(now time.Duration) time.Duration {
	d.rotate(now)
	return max(d.present, d.previous)
}

// rotate begins a new window once the present one is over.
func (d *schedulingDelay) rotate(now time.Duration) {
	switch passed := now - d.began; {
	case passed < delayWindow:
	case passed < 2*delayWindow:
		d.began, d.previous, d.present = now, d.present, 0
	default:
		d.began, d.previous, d.present = now, 0, 0
	}
}

// NoteDelay tells by how much a timer of this process fired late.
func (m *Member) NoteDelay(now, late time.Duration) { m.schedulingDelay.note(now, late) }

// OwnDelay returns by how much this process was late lately.
func (m *Member) OwnDelay(now time.Duration) time.Duration { return m.schedulingDelay.recent(now) }

// suspectAfter returns the silence after which this node suspects another one. A node that is
// late itself waits for longer: it would claim terms that it can't hold, and end each before
// its lessor has settled what the one before left.
func (m *Member) suspectAfter(now time.Duration) time.Duration {
	return m.cfg.SuspectAfter + min(m.schedulingDelay.recent(now), maxDelayLeases*m.cfg.Lease.TTL)
}
