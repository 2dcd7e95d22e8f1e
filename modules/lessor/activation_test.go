package lessor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A standby server that had been activated off the log and restarted says that it was
// never activated. A node that took the group over without knowing of it let the owner
// go on under its old fence, lower than the one under which the keys had been served,
// and later gave that one to another run.
func TestRestartedStandbyServerDoesNotHideItsActivation(t *testing.T) {
	run(t, oneZone, 4, limit, func(w *world, g *WithT) {
		moved := w.shardsOn("sa1")
		w.logDown(true)
		time.Sleep(rest)
		w.servers["sa1"].setDown(true)
		w.until(served, "standby servers serve", func() bool { return len(w.serving()) == shardCount })
		activated := w.fences()
		w.lessorOfA().kill()
		w.standby("a/0").kill()
		w.servers["sa2"].restart()
		w.servers["sa1"].setDown(false)
		w.logDown(false)
		w.until(2*served, "every shard served", func() bool { return len(w.serving()) == shardCount })
		for shard := range moved {
			g.Expect(activated[shard].Less(w.fences()[shard])).To(BeTrue(), shard.String())
		}
	})
}
