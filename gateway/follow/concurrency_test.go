package follow

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
	"google.golang.org/protobuf/proto"
)

// Guards against limits that are lost or too large on the way to nodes, and against a message whose lists differ in length.
func TestGuidanceCarriesConcurrency(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := map[site.ServerID]int{"a": 2, "b": 3}
	message := guidanceMessage(view.Guidance{Guidance: guidance.Guidance{Concurrency: limits}})
	g.Expect(guidanceOf(message).Concurrency).To(gomega.Equal(limits))
	size := proto.Size(message)
	message.Concurrency = message.Concurrency[:1]
	g.Expect(guidanceOf(message).Concurrency).To(gomega.Equal(map[site.ServerID]int{"a": 2}))
	g.Expect(size).To(gomega.BeNumerically("<=", 2*(1+5)))
}

// Guards against counts of an impossible load, and against those that are lost at a relay.
func TestReportsCountAnswersByTheRequestsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	relay := NewReports()
	for _, load := range []site.Load{{Running: 1, Slots: 2}, {Running: 2, Slots: 2}, {Running: 2, Waiting: 3, Slots: 2}, {Running: 3, Slots: 2}, {Running: -1, Slots: 2}, {Running: 1, Slots: 1 << 30}} {
		node := NewReports()
		node.NoteRouteResponse("s", "r", time.Second, time.Second, &load)
		relay.Merge(Report{Paces: node.Drain().Paces})
	}
	relay.Merge(Report{Paces: []*bspb.ServerPace{{Server: "s", Route: "r", Count: 1}}}) // of the previous release
	g.Expect(relay.Drain().Paces[0].Left).To(gomega.Equal([]uint32{1, 1, 1}))
}
