package topo_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/topo"
)

func TestShardIDReadsBackWhatItWrote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		id := topo.ShardID{
			Service: topo.Service(rapid.StringMatching(`[a-z][a-z0-9-]*`).Draw(t, "service")),
			Index:   rapid.Uint32().Draw(t, "index"),
			Key:     rapid.String().Draw(t, "key"),
		}
		parsed, err := topo.ParseShardID(id.String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsed).To(Equal(id))
	})
}

func TestOrdinalsAreOrderedByOffsetThenRank(t *testing.T) {
	cases := []struct {
		name        string
		left, right topo.Fence
		want        int
	}{
		{"equal", topo.MakeFence(5, 0), topo.MakeFence(5, 0), 0},
		{"lower offset with higher rank", topo.MakeFence(4, 9), topo.MakeFence(5, 0), -1},
		{"standby after owner", topo.MakeFence(5, 0).Standby(), topo.MakeFence(5, 0), 1},
		{"next record after standby", topo.MakeFence(6, 0), topo.MakeFence(5, 0).Standby(), 1},
		{"zero before all", topo.Fence{}, topo.MakeFence(1, 0), -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.left.Compare(c.right.Ordinal)).To(Equal(c.want))
			g.Expect(c.right.Compare(c.left.Ordinal)).To(Equal(-c.want))
			g.Expect(c.left.Less(c.right)).To(Equal(c.want < 0))
		})
	}
}

func TestTermsAndFencesReadBackWhatTheyWrote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		offset := topo.Offset(rapid.Uint64().Draw(t, "offset"))
		rank := rapid.Uint32().Draw(t, "rank")

		term, err := topo.ParseTerm(topo.MakeTerm(offset, rank).String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(term).To(Equal(topo.MakeTerm(offset, rank)))

		fence, err := topo.ParseFence(topo.MakeFence(offset, rank).String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fence).To(Equal(topo.MakeFence(offset, rank)))
	})
}

func TestMalformedTextIsRefusedWithItsKind(t *testing.T) {
	cases := []struct {
		name string
		err  error
		kind string
	}{
		{"shard without index", second(topo.ParseShardID("quotes")), "shard"},
		{"shard without service", second(topo.ParseShardID("/3")), "shard"},
		{"shard index not a number", second(topo.ParseShardID("quotes/x")), "shard"},
		{"term without rank", second(topo.ParseTerm("12")), "term"},
		{"term with a bad rank", second(topo.ParseTerm("12.-1")), "term"},
		{"fence with a bad offset", second(topo.ParseFence("x.0")), "fence"},
		{"fence beyond 64 bits", second(topo.ParseFence("18446744073709551616.0")), "fence"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var parse *topo.ParseError
			g.Expect(c.err).To(BeAssignableToTypeOf(parse))
			g.Expect(c.err.(*topo.ParseError).Kind).To(Equal(c.kind)) //nolint:errorlint // asserted the line above
		})
	}
}

func second[T any](_ T, err error) error { return err }

// The shard of a key is part of the protocol: nodes of a release that changes it
// would send a key to a different owner than nodes of other releases.
func TestShardIndexIsFixedForGood(t *testing.T) {
	g := NewWithT(t)
	g.Expect(topo.ShardIndex("well-7", 64)).To(Equal(topo.ShardIndex("well-7", 64)))
	g.Expect(topo.ShardIndex("", 64)).To(BeEquivalentTo(25))
	g.Expect(topo.ShardIndex("well-7", 0)).To(BeZero())
}

func TestGroupNamesItsZone(t *testing.T) {
	g := NewWithT(t)
	g.Expect(topo.MakeGroupID("zone-a", 3)).To(Equal(topo.GroupID("zone-a/3")))
	g.Expect(topo.MakeGroupID("zone-a", 3).Zone()).To(Equal(topo.Zone("zone-a")))
}
