package lessor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A group whose lessor and standby lessor were lost had a silent standby lessor for
// as long as the lost nodes stood first in turn: the next lessor named the one, then
// the other, and so on. Without a standby lessor its leases end with the log.
func TestALostNodeIsNotNamedStandbyLessorAgain(t *testing.T) {
	run(t, oneZone, 4, limit, func(w *world, g *WithT) {
		w.lessorOfA().kill()
		w.standby("a/0").kill()
		took := w.until(served, "a standby lessor that answers", func() bool { return w.standby("a/0") != nil })
		t.Logf("standby lessor after %v", took)
		time.Sleep(rest)
		w.logDown(true)
		time.Sleep(rest)
		g.Expect(w.allServed()).To(BeTrue(), "leases go on without the log")
		w.logDown(false)
	})
}
