package follow

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// siteOf returns a view with nodes a-0, a-1, ... in each zone, of which the first two have
// a high capacity, and the lessor.
func siteOf(lessor string, nodes map[string]int) *view.View {
	v := &view.View{}
	for zone, count := range nodes {
		for i := range count {
			name := fmt.Sprintf("%s-%d", zone, i)
			m := view.Member{Node: name, Boot: "boot-" + name, Zone: zone, Address: name + ":1", Capacity: 0.1}
			if i < 2 {
				m.Capacity = 0.8
			}
			v.Members = append(v.Members, m)
			if name == lessor {
				v.Routes.Lessor = ranges.Lessor{Node: name, Boot: m.Boot, Address: m.Address}
			}
		}
	}
	return v
}

func memberNamed(v *view.View, name string) view.Member {
	for _, m := range v.Members {
		if m.Node == name {
			return m
		}
	}
	return view.Member{Node: name, Boot: "boot-" + name, Zone: name[:1], Address: name + ":1"}
}

// Load: every change of 165 servers' ranges is sent to 87 nodes. Few nodes send to each
// node, the lessor sends to few of them, and nodes of low capacity send to none.
func TestLargeSiteIsServedByRelaysOfHighCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	v := siteOf("a-0", map[string]int{"a": 26, "b": 29, "c": 32})
	followers := map[string]int{}
	for _, m := range v.Members {
		list := sources(m, v, nil)
		if m.Node == "a-0" {
			g.Expect(list).To(gomega.BeEmpty(), "the lessor follows nobody")
			continue
		}
		g.Expect(list).To(gomega.ContainElement(source{address: "a-0:1", lessor: true}))
		for _, s := range list[len(list)-2:] {
			g.Expect(s.address).NotTo(gomega.HavePrefix(m.Zone), "the last resort is the first nodes of other zones")
		}
		followers[list[0].address]++
	}
	g.Expect(followers["a-0:1"]).To(gomega.Equal(6), "the relays: two of each zone")
	delete(followers, "a-0:1")
	g.Expect(followers).To(gomega.HaveLen(6))
	for address, count := range followers {
		g.Expect(address).To(gomega.MatchRegexp("-(0|1|10):1$"), "a node of high capacity, or the next of the lessor's zone")
		g.Expect(count).To(gomega.BeNumerically("<=", 2*membersPerRelay))
	}
}

func TestSmallSiteHasOneRelayInEachOtherZone(t *testing.T) {
	g := gomega.NewWithT(t)
	v := siteOf("a-1", map[string]int{"a": 4, "b": 4, "c": 1})
	lessor := source{address: "a-1:1", lessor: true}
	relayOf := func(address string) source { return source{address: address} }
	for _, c := range []struct {
		node string
		want []source
	}{
		{"a-0", []source{lessor, relayOf("b-0:1"), relayOf("c-0:1")}},
		{"b-0", []source{lessor, relayOf("a-0:1"), relayOf("c-0:1")}}, // the relay
		{"b-3", []source{relayOf("b-0:1"), lessor, relayOf("a-0:1"), relayOf("c-0:1")}},
		{"c-0", []source{lessor, relayOf("a-0:1"), relayOf("b-0:1")}},
		{"d-0", []source{lessor, relayOf("a-0:1"), relayOf("b-0:1"), relayOf("c-0:1")}}, // in a zone that is not listed yet
		{"b-9", []source{relayOf("b-0:1"), lessor, relayOf("a-0:1"), relayOf("c-0:1")}}, // not listed yet
	} {
		g.Expect(sources(memberNamed(v, c.node), v, nil)).To(gomega.Equal(c.want), c.node)
	}
}

// Starting nodes know only the configured seeds, some of which may be gone. The seeds call
// the lessor once they know it.
func TestStartingNodesCallSeeds(t *testing.T) {
	g := gomega.NewWithT(t)
	seeds := []string{"a-0:1", "b-0:1", "c-0:1"}
	v := &view.View{}
	asked := map[string]int{}
	for i := range 60 {
		list := sources(view.Member{Node: fmt.Sprint("n", i), Boot: "x", Address: "n:1"}, v, seeds)
		g.Expect(list).To(gomega.HaveLen(3))
		asked[list[0].address]++
	}
	for _, seed := range seeds {
		g.Expect(asked[seed]).To(gomega.BeNumerically("~", 20, 12), "each seed is called by about a third")
	}
	seed := view.Member{Node: "a-0", Boot: "x", Address: "a-0:1"}
	g.Expect(sources(seed, v, seeds)).To(gomega.HaveLen(2), "not itself")
	v.Routes.Lessor = ranges.Lessor{Node: "d-1", Boot: "y", Address: "d-1:1"}
	g.Expect(sources(seed, v, seeds)[0]).To(gomega.Equal(source{address: "d-1:1", lessor: true}))
	other := view.Member{Node: "n", Boot: "z", Address: "n:1"}
	g.Expect(sources(other, v, seeds)[3]).To(gomega.Equal(source{address: "d-1:1", lessor: true}))
}

func TestNodesOfHighCapacityClaimFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	v := siteOf("a-0", map[string]int{"a": 3, "b": 3})
	rank, known := Rank(memberNamed(v, "a-1"), v)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(rank).To(gomega.Equal(0), "the replaced lessor is not counted")
	rank, _ = Rank(memberNamed(v, "b-2"), v)
	g.Expect(rank).To(gomega.Equal(4))
	_, known = Rank(memberNamed(v, "c-0"), v)
	g.Expect(known).To(gomega.BeFalse())
}
