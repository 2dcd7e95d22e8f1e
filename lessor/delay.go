package lessor

import "time"

// delayWindow is the minimum time for which a scheduling delay of this process
// is taken into account.
const delayWindow = 3 * time.Second

// maxDelayLeases bounds the delay that is taken into account, in lease TTLs, so that a lessor
// that has ended is suspected within that time.
const maxDelayLeases = 2

// schedulingDelay tracks the recent scheduling delay of this process. A process that is short
// of CPU time receives replies late, so that an apparent timeout of another node may be its own
// delay.
type schedulingDelay struct {
	began             time.Duration // start of the current window
	present, previous time.Duration // longest delay in each window
}

// note records how late a timer fired.
func (d *schedulingDelay) note(now, late time.Duration) {
	d.rotate(now)
	d.present = max(d.present, late)
}

// recent returns the longest recent delay.
func (d *schedulingDelay) recent(now time.Duration) time.Duration {
	d.rotate(now)
	return max(d.present, d.previous)
}

// rotate begins a new window once the current one is over.
func (d *schedulingDelay) rotate(now time.Duration) {
	switch passed := now - d.began; {
	case passed < delayWindow:
	case passed < 2*delayWindow:
		d.began, d.previous, d.present = now, d.present, 0
	default:
		d.began, d.previous, d.present = now, 0, 0
	}
}

// NoteDelay records how late a timer of this process fired.
func (m *Member) NoteDelay(now, late time.Duration) { m.schedulingDelay.note(now, late) }

// SchedulingDelay returns the longest recent scheduling delay of this process.
func (m *Member) SchedulingDelay(now time.Duration) time.Duration {
	return m.schedulingDelay.recent(now)
}

// suspectAfter returns the time without a reply after which this node suspects another one. A
// delayed node waits longer: otherwise it would claim terms that it cannot hold, and end each
// of them before its lessor has settled the shards of the previous one.
func (m *Member) suspectAfter(now time.Duration) time.Duration {
	return m.cfg.SuspectAfter + min(m.schedulingDelay.recent(now), maxDelayLeases*m.cfg.Lease.TTL)
}
