package lessor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// On a machine that is short of processor time nodes heard answers late, took each other for
// lost and claimed a group in turn, each before the one before had settled: a lost server's
// keys were not served for as long as that went on.
func TestSchedulingDelayExtendsSuspicion(t *testing.T) {
	for name, row := range map[string]struct {
		delay, since time.Duration // by how much it was late, and how long before the loss
		counts       time.Duration
	}{
		"late now":             {800 * time.Millisecond, 0, 800 * time.Millisecond},
		"late a moment ago":    {800 * time.Millisecond, delayWindow, 800 * time.Millisecond},
		"no longer late":       {800 * time.Millisecond, 2 * delayWindow, 0},
		"at most a while":      {time.Minute, 0, maxDelayLeases * testConfig("a", "z0").Lease.TTL},
		"on time, as it seems": {-time.Second, 0, 0},
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
					// Suspicion, since a heartbeat interval before it asked at the earliest.
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
