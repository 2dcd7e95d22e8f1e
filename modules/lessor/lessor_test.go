package lessor

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func protoMarshal(record *bspb.Record) ([]byte, error) { return proto.Marshal(record) }

var oneZone = []string{"a"}

const defaultLimit = 10 * time.Minute

// startupTime is the longest time until a new site serves every shard.
const startupTime = 2 * time.Second

func TestNewSiteIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, []string{"a", "b", "c"}, 2, defaultLimit)
		took := w.waitFor(startupTime, "every shard served", w.allServed)
		t.Logf("every shard served after %v", took)
		w.waitFor(startupTime, "standby lessors", func() bool { return w.standby("a/0") != nil })
	})
}

func TestLostServerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, oneZone, 2, defaultLimit)
		w.waitFor(startupTime, "every shard served", w.allServed)
		time.Sleep(time.Second)
		w.reset()
		lost := w.shardsOn("sa1")
		g.Expect(lost).NotTo(BeEmpty())
		w.servers["sa1"].setDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		g.Expect(w.shardsOn("sa1")).To(BeEmpty())
		others := w.gaps(func(id topo.ShardID) bool { return !lost[id] })
		g.Expect(others).To(BeZero())
		t.Logf("gap of the lost server's shards: %v", w.gaps(nil))
		g.Expect(w.gaps(nil)).To(BeNumerically("<", 3*time.Second))
	})
}

func TestLostLessorLeavesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, oneZone, 3, defaultLimit)
		w.waitFor(startupTime, "every shard served", w.allServed)
		time.Sleep(time.Second)
		w.reset()
		old := w.lessorOfA()
		old.kill()
		w.waitFor(2*time.Second, "another lessor", func() bool { return w.lessorOfA() != nil })
		time.Sleep(5 * time.Second)
		g.Expect(w.allServed()).To(BeTrue())
		g.Expect(w.gaps(nil)).To(BeZero())
		w.waitFor(5*time.Second, "another standby lessor", func() bool { return w.standby("a/0") != nil })
	})
}
