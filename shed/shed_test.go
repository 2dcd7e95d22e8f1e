package shed_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/shed"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

var epoch = time.Unix(1_000_000, 0)

// site: portal depends on licensing, which depends on logs.
func site() *siteconfig.Site {
	return &siteconfig.Site{Services: map[topo.Service]*siteconfig.Service{
		"portal":    {Name: "portal", DependsOn: []topo.Service{"licensing"}},
		"licensing": {Name: "licensing", DependsOn: []topo.Service{"logs"}},
		"logs":      {Name: "logs"},
	}}
}

// load adds 40 requests over a window, of which so many in 40 are refused.
func load(add func(time.Time, bool), from time.Time, refused int) time.Time {
	for i := range 40 {
		from = from.Add(50 * time.Millisecond)
		add(from, i%40 < refused)
	}
	return from
}

func TestShareGrowsWithTheRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	last := -1.0
	for _, refused := range []int{0, 4, 10, 20, 30, 40} {
		var m shed.Monitor
		now := load(m.Add, epoch, refused)
		share := m.Share(now)
		g.Expect(share).To(gomega.BeNumerically(">=", last))
		g.Expect(share).To(gomega.BeNumerically("<=", 0.9), "some requests always pass")
		last = share
	}
	g.Expect(last).To(gomega.BeNumerically("~", 0.9))
}

func TestHysteresis(t *testing.T) {
	g := gomega.NewWithT(t)
	var m shed.Monitor
	now := load(m.Add, epoch, 3)
	g.Expect(m.Share(now)).To(gomega.BeZero(), "7.5 % does not engage")
	now = load(m.Add, now.Add(3*time.Second), 20)
	g.Expect(m.Share(now)).To(gomega.BeNumerically(">", 0.5))
	now = now.Add(3 * time.Second)
	for range 3 {
		now = load(m.Add, now, 3)
		g.Expect(m.Share(now)).To(gomega.BeNumerically(">", 0), "7.5 % does not release")
	}
	now = load(m.Add, now.Add(3*time.Second), 0)
	m.Share(now)
	now = load(m.Add, now, 0)
	g.Expect(m.Share(now)).To(gomega.BeZero(), "released after a second below the lower limit")
}

func TestFewRequestsTellNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	var m shed.Monitor
	for range 10 {
		m.Add(epoch, true)
	}
	g.Expect(m.Share(epoch)).To(gomega.BeZero())
}

func TestWholeChainIsShed(t *testing.T) {
	g := gomega.NewWithT(t)
	set := shed.NewSet()
	now := load(func(at time.Time, refused bool) { set.Add(at, "logs", refused) }, epoch, 30)
	g.Expect(set.Share(now, site(), "licensing")).To(gomega.BeNumerically(">", 0.5))
	g.Expect(set.Share(now, site(), "portal")).To(gomega.BeNumerically(">", 0.5))
	g.Expect(set.Share(now, site(), "logs")).To(gomega.BeZero(), "the overloaded service itself is not shed")
}

func TestShareIsAlwaysAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m shed.Monitor
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			m.Add(now, rapid.Bool().Draw(t, "refused"))
			if share := m.Share(now); share < 0 || share > 0.9 {
				t.Fatalf("share %v", share)
			}
		}
	})
}
