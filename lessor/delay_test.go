package lessor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSchedulingDelayExtendsSuspicion guards against claims by delayed nodes. On a machine
// short of CPU time, nodes received replies late, suspected each other and claimed a group
// in turn, each before the previous lessor had settled, and a lost server's keys were not
// served meanwhile.
func TestSchedulingDelayExtendsSuspicion(t *testing.T) {
	for name, row := range map[string]struct {
		delay, since time.Duration // scheduling delay, and how long before the loss it ended
		counts       time.Duration
	}{
		"late now":            {800 * time.Millisecond, 0, 800 * time.Millisecond},
		"late until recently": {800 * time.Millisecond, delayWindow, 800 * time.Millisecond},
		"no longer late":      {800 * time.Millisecond, 2 * delayWindow, 0},
		"capped":              {time.Minute, 0, maxDelayLeases * testConfig("a", "z0").Lease.TTL},
		"negative delay":      {-time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWatcherHarness(t, 0)
				w.lostAt = 10*time.Second + time.Duration(rapid.IntRange(0, 100_000).Draw(t, "lost"))*time.Microsecond
				for !w.step() {
					if w.now < w.lostAt-row.since {
						w.m.NoteDelay(w.now, row.delay)
					}
					if w.now > w.lostAt+10*time.Second {
						t.Fatal("never claimed")
					}
				}
				from, to := 250*time.Millisecond, 100*time.Millisecond+2*probeTimeout
				if row.counts > 0 {
					// Suspicion, measured from at most one heartbeat interval before the
					// probe.
					from = w.m.cfg.SuspectAfter + row.counts - 2*w.m.cfg.HeartbeatEvery
					to = w.m.cfg.SuspectAfter + row.counts + probeTimeout
				}
				after := w.now - w.lostAt
				if after < from-minPause || after > to+minPause {
					t.Fatalf("claimed %v after the loss, not within %v to %v", after, from, to)
				}
			})
		})
	}
}
