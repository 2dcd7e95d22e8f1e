package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// routesOfMany returns the routes of a service with many ranges of different owners; states
// sets the states of some ranges.
func routesOfMany(offset store.Offset, serial uint64, many int, states map[int]ranges.RouteState) view.Routes {
	routes := view.Routes{Lessor: ranges.Lessor{Node: "n", Boot: "b", Address: "n:1"}, Offset: offset, Serial: serial, Services: map[site.ServiceName][]ranges.Route{}}
	var list []ranges.Route
	keys := int(ranges.LastKey) + 1
	for i := range many {
		span := ranges.Span{From: ranges.Key(keys * i / many), To: ranges.Key(keys*(i+1)/many - 1)}
		route := ranges.Route{Span: span, Server: site.ServerID(fmt.Sprintf("i-%08x@mbq%05d", i*7919, i)), State: ranges.Ready}
		if state, differs := states[i]; differs {
			route.State = state
		}
		list = append(list, route)
	}
	routes.Services["archive"] = list
	return routes
}

// sendRoutes sends the newest routes to a node, and returns the size of the message in
// bytes.
func sendRoutes(t *testing.T, encoder *routesEncoder, newest view.Routes, to *view.State) int {
	t.Helper()
	g := gomega.NewWithT(t)
	msg := &bspb.FollowRequest{}
	setKnownVersions(msg, to.Now())
	text, err := proto.Marshal(encoder.encode(msg, newest))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var message bspb.GatewayRoutes
	g.Expect(proto.Unmarshal(text, &message)).To(gomega.Succeed())
	routes, found, err := decodeRoutes(&message, to.Now().Routes, "other")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	to.MergeRoutes(routes)
	g.Expect(to.Now().Routes).To(gomega.Equal(newest))
	return len(text)
}

// Load: busy keys move ten times per second on a site of 308 owners, and every change is
// sent to 295 nodes. A node must receive the change and not the whole table.
func TestChangeOfRoutesIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	var encoder routesEncoder
	node := view.NewState()
	whole := sendRoutes(t, &encoder, routesOfMany(7, 1, 600, nil), node)
	for serial := uint64(2); serial < 8; serial++ {
		states := map[int]ranges.RouteState{int(serial) * 11: ranges.Moving, int(serial)*11 + 1: ranges.Moving}
		change := sendRoutes(t, &encoder, routesOfMany(7, serial, 600, states), node)
		g.Expect(change).To(gomega.BeNumerically("<", whole/20))
	}
}

// A table with other ranges has few routes in common with the previous one, and none at the
// same index.
func TestNodeReceivesTableWithOtherRanges(t *testing.T) {
	var encoder routesEncoder
	node := view.NewState()
	sendRoutes(t, &encoder, routesOfMany(7, 1, 600, nil), node)
	sendRoutes(t, &encoder, routesOfMany(8, 2, 601, nil), node)
	sendRoutes(t, &encoder, routesOfMany(9, 3, 300, nil), node)
	sendRoutes(t, &encoder, routesOfMany(9, 4, 1, nil), node)
}

func TestNodeFarBehindReceivesNewestRoutes(t *testing.T) {
	var encoder routesEncoder
	node, other := view.NewState(), view.NewState()
	sendRoutes(t, &encoder, routesOfMany(7, 1, 10, nil), node)
	for serial := uint64(2); serial < 2+2*maxRecent; serial++ {
		sendRoutes(t, &encoder, routesOfMany(7, serial, 10, map[int]ranges.RouteState{int(serial) % 10: ranges.Moving}), other)
	}
	sendRoutes(t, &encoder, routesOfMany(7, 100, 10, nil), node)
}

// At the start of a site, some nodes have the routes of the first table, which is at offset
// 0 and was not sent by a lessor, and others have none. A change from the first routes must
// not be applied by nodes without routes.
func TestChangeFromFirstRoutesIsNotAppliedWithoutRoutes(t *testing.T) {
	var encoder routesEncoder
	first, another, none := view.NewState(), view.NewState(), view.NewState()
	sendRoutes(t, &encoder, routesOfMany(0, 0, 10, nil), first)
	sendRoutes(t, &encoder, routesOfMany(0, 0, 10, nil), another)
	moving := routesOfMany(0, 1, 10, map[int]ranges.RouteState{3: ranges.Moving})
	sendRoutes(t, &encoder, moving, first)
	sendRoutes(t, &encoder, moving, none)
	sendRoutes(t, &encoder, moving, another)

	g := gomega.NewWithT(t)
	msg := &bspb.FollowRequest{}
	change := encoder.encode(msg, moving)
	g.Expect(change.Base).NotTo(gomega.BeNil())
	_, found, err := decodeRoutes(change, view.NewState().Now().Routes, "other")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeFalse(), "a node without routes does not have the first ones")
}

// While a call is in flight, a node may receive newer routes from another node.
func TestChangeOfOtherRoutesIsNotApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	var encoder routesEncoder
	node := view.NewState()
	sendRoutes(t, &encoder, routesOfMany(7, 1, 10, nil), node)
	msg := &bspb.FollowRequest{}
	setKnownVersions(msg, node.Now())
	change := encoder.encode(msg, routesOfMany(7, 2, 10, map[int]ranges.RouteState{3: ranges.Moving}))
	node.MergeRoutes(routesOfMany(7, 3, 10, nil))
	_, found, err := decodeRoutes(change, node.Now().Routes, "other")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeFalse())
}

// The remaining time of an unresponsive range is measured from the response, so an earlier message
// must not be reused.
func TestRemainingTimeOfUnresponsiveRangeIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var encoder routesEncoder
		routes := routesOfMany(7, 1, 4, map[int]ranges.RouteState{2: ranges.Unresponsive})
		routes.Services["archive"][2].Until = clock.Now().Add(3 * time.Second)
		msg := &bspb.FollowRequest{TableOffset: -1}
		g.Expect(encoder.encode(msg, routes).Services[0].SilentMs).To(gomega.Equal([]uint32{3000}))
		time.Sleep(time.Second)
		g.Expect(encoder.encode(msg, routes).Services[0].SilentMs).To(gomega.Equal([]uint32{2000}))
	})
}

func TestMalformedRoutesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	known := routesOfMany(7, 1, 4, nil)
	base := &bspb.RoutesBase{TableOffset: 7, Serial: 1}
	for name, service := range map[string]*bspb.ServiceRoutes{
		"missing keys":           {Service: "archive", Keys: []uint32{100}, Owners: []uint32{0}},
		"no owner":               {Service: "archive", Keys: []uint32{65536}},
		"empty range":            {Service: "archive", Keys: []uint32{0, 65536}, Owners: []uint32{1, 1}},
		"unknown server":         {Service: "archive", Keys: []uint32{65536}, Owners: []uint32{stateFactor}},
		"remaining time missing": {Service: "archive", Keys: []uint32{65536}, Owners: []uint32{uint32(ranges.Unresponsive)}},
		"unknown base range":     {Service: "archive", Keys: []uint32{100, 65436}, Owners: []uint32{sameAsBase, 0}},
		"no such service":        {Service: "other", Keys: []uint32{65536}, Owners: []uint32{sameAsBase}},
	} {
		message := &bspb.GatewayRoutes{TableOffset: 7, Serial: 2, Base: base, Services: []*bspb.ServiceRoutes{service}}
		_, _, err := decodeRoutes(message, known, "other")
		g.Expect(err).To(gomega.HaveOccurred(), name)
	}
}
