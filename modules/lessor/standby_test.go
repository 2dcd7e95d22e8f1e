package lessor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A group that lost its lessor and standby lessor kept an unresponsive standby lessor for
// as long as the lost nodes came first in the order of succession, because the next
// lessor named the two lost nodes alternately. Without a standby lessor that responds,
// the leases expire when the log is unavailable.
func TestALostNodeIsNotNamedStandbyLessorAgain(t *testing.T) {
	run(t, oneZone, 4, defaultLimit, func(w *world, g *WithT) {
		w.lessorOfA().kill()
		w.standby("a/0").kill()
		took := w.waitFor(recoveryTime, "a standby lessor that answers", func() bool { return w.standby("a/0") != nil })
		t.Logf("standby lessor after %v", took)
		time.Sleep(settleTime)
		w.logDown(true)
		time.Sleep(settleTime)
		g.Expect(w.allServed()).To(BeTrue(), "leases are renewed without the log")
		w.logDown(false)
	})
}
