package histcheck

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
)

func accepted(publisher string, base uint64, began, at history.Time) history.SitePublished {
	return history.SitePublished{Began: began, At: at, Publisher: publisher, Base: base, Accepted: true, Version: base + 1, Digest: publisher}
}

func refused(publisher string, base uint64, began, at history.Time) history.SitePublished {
	return history.SitePublished{Began: began, At: at, Publisher: publisher, Base: base, Digest: publisher}
}

func inForce(version uint64, digest string, at history.Time) history.SiteInForce {
	return history.SiteInForce{At: at, Node: "n1", Boot: "b1", Version: version, Digest: digest}
}

func TestSiteVersions(t *testing.T) {
	unknown := refused("b", 1, 5, 9)
	unknown.Unknown = true
	cases := map[string]struct {
		events []history.Event
		plain  int
		model  Result
	}{
		"accepted, then refused on the old base": {
			[]history.Event{accepted("a", 1, 1, 5), refused("b", 1, 2, 6), inForce(2, "a", 7)}, 0, Linearizable,
		},
		"unknown that took effect": {
			[]history.Event{unknown, accepted("c", 2, 10, 12), inForce(2, "b", 13), inForce(3, "c", 14)}, 0, Linearizable,
		},
		"unknown that took no effect": {
			[]history.Event{unknown, accepted("c", 1, 10, 12), inForce(2, "c", 13)}, 0, Linearizable,
		},
		"two accepted on one base": {
			[]history.Event{accepted("a", 1, 1, 5), accepted("b", 1, 2, 6)}, 2, NotLinearizable,
		},
		"refused though the base was in force": {
			[]history.Event{refused("a", 1, 1, 5), accepted("b", 1, 6, 7)}, 0, NotLinearizable,
		},
		"reverted at a node": {
			[]history.Event{accepted("a", 1, 1, 5), accepted("b", 2, 6, 7), inForce(3, "b", 8), inForce(2, "a", 9)}, 1, Linearizable,
		},
		"version with two texts": {
			[]history.Event{accepted("a", 1, 1, 5), inForce(2, "other", 6)}, 1, NotLinearizable,
		},
		"version in force that nobody published": {
			[]history.Event{accepted("a", 1, 1, 5), inForce(3, "x", 6)}, 0, NotLinearizable,
		},
		"in force before it was published": {
			[]history.Event{accepted("a", 1, 10, 12), inForce(2, "a", 6)}, 0, NotLinearizable,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			history.SortEvents(tc.events)
			g.Expect(SiteVersions(tc.events)).To(gomega.HaveLen(tc.plain))
			g.Expect(LinearizableSite(tc.events, 1, 0)).To(gomega.Equal(tc.model))
		})
	}
}
