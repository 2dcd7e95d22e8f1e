package follow

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// siteOf returns a view with nodes a-0, a-1, ... in each zone, of which the first
// two are strong, and the lessor.
func siteOf(lessor string, nodes map[string]int) *view.View {
	v := &view.View{}
	for zone, count := range nodes {
		for i := range count {
			name := fmt.Sprintf("%s-%d", zone, i)
			m := view.Member{Node: name, Boot: "boot-" + name, Zone: zone, Address: name + ":1", Strength: 0.1}
			if i < 2 {
				m.Strength = 0.8
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

// The load: every change of 165 servers' ranges goes to 87 nodes. Each node must
// be told by few, few of them by the lessor, and weak ones must tell nobody.
func TestALargeSiteIsToldByStrongRelays(t *testing.T) {
	g := gomega.NewWithT(t)
	v := siteOf("a-0", map[string]int{"a": 26, "b": 29, "c": 32})
	toldBy := map[string]int{}
	for _, m := range v.Members {
		list := sources(m, v)
		if m.Node == "a-0" {
			g.Expect(list).To(gomega.BeEmpty(), "the lessor follows nobody")
			continue
		}
		g.Expect(list[len(list)-1]).To(gomega.Equal(source{address: "a-0:1", lessor: true}), "the lessor is the last resort")
		toldBy[list[0].address]++
	}
	g.Expect(toldBy["a-0:1"]).To(gomega.Equal(6), "the relays: two of each zone")
	delete(toldBy, "a-0:1")
	g.Expect(toldBy).To(gomega.HaveLen(6))
	for address, count := range toldBy {
		g.Expect(address).To(gomega.MatchRegexp("-(0|1|10):1$"), "a strong node, or the next of the lessor's zone")
		g.Expect(count).To(gomega.BeNumerically("<=", 2*membersPerRelay))
	}
}

func TestASmallSiteHasOneRelayInEachOtherZone(t *testing.T) {
	g := gomega.NewWithT(t)
	v := siteOf("a-1", map[string]int{"a": 4, "b": 4, "c": 1})
	fromLessor := []source{{address: "a-1:1", lessor: true}}
	g.Expect(sources(memberNamed(v, "a-0"), v)).To(gomega.Equal(fromLessor))
	g.Expect(sources(memberNamed(v, "b-0"), v)).To(gomega.Equal(fromLessor), "the relay")
	g.Expect(sources(memberNamed(v, "b-3"), v)).To(gomega.Equal([]source{{address: "b-0:1"}, fromLessor[0]}))
	g.Expect(sources(memberNamed(v, "c-0"), v)).To(gomega.Equal(fromLessor))
	g.Expect(sources(memberNamed(v, "d-0"), v)).To(gomega.Equal(fromLessor), "a node of a zone that nobody knows yet")
	g.Expect(sources(memberNamed(v, "b-9"), v)).To(gomega.Equal([]source{{address: "b-0:1"}, fromLessor[0]}), "a node that is not listed yet")
}

func TestStrongNodesClaimFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	v := siteOf("a-0", map[string]int{"a": 3, "b": 3})
	rank, known := Rank(memberNamed(v, "a-1"), v)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(rank).To(gomega.Equal(0), "the lessor that is replaced does not count")
	rank, _ = Rank(memberNamed(v, "b-2"), v)
	g.Expect(rank).To(gomega.Equal(4))
	_, known = Rank(memberNamed(v, "c-0"), v)
	g.Expect(known).To(gomega.BeFalse())
}
