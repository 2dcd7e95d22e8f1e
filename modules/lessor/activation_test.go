package lessor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A standby server that was activated off the log and has restarted does not report its
// activation. A node that took over the group without knowing of the activation let the
// owner continue under its old fence, which is lower than the fence under which the keys
// had been served, and later granted the higher fence to another incarnation.
func TestRestartedStandbyServerDoesNotHideItsActivation(t *testing.T) {
	run(t, oneZone, 4, defaultLimit, func(w *world, g *WithT) {
		moved := w.shardsOn("sa1")
		w.logDown(true)
		time.Sleep(settleTime)
		w.servers["sa1"].setDown(true)
		w.waitFor(recoveryTime, "standby servers serve", func() bool { return len(w.serving()) == shardCount })
		activated := w.fences()
		w.lessorOfA().kill()
		w.standby("a/0").kill()
		w.servers["sa2"].restart()
		w.servers["sa1"].setDown(false)
		w.logDown(false)
		w.waitFor(2*recoveryTime, "every shard served", func() bool { return len(w.serving()) == shardCount })
		for shard := range moved {
			g.Expect(activated[shard].Less(w.fences()[shard])).To(BeTrue(), shard.String())
		}
	})
}
