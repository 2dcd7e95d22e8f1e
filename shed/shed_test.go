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

// site returns a configuration in which portal depends on licensing, which
// depends on logs.
func site() *siteconfig.Site {
	return &siteconfig.Site{Services: map[topo.Service]*siteconfig.Service{
		"portal":    {Name: "portal", DependsOn: []topo.Service{"licensing"}},
		"licensing": {Name: "licensing", DependsOn: []topo.Service{"logs"}},
		"logs":      {Name: "logs"},
	}}
}

// load records 40 requests of dependants over a window, each with one call. The
// argument refused is the number of refused calls, which are the first ones.
func load(m *shed.Monitor, from time.Time, refused int) time.Time {
	for i := range 40 {
		from = from.Add(50 * time.Millisecond)
		m.Request(from)
		if i < refused {
			m.Refused(from)
		}
	}
	return from
}

func TestShareGrowsWithTheRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	last := -1.0
	for _, refused := range []int{0, 10, 20, 25, 30, 40} {
		var m shed.Monitor
		now := load(&m, epoch, refused)
		share := m.Share(now)
		g.Expect(share).To(gomega.BeNumerically(">=", last))
		g.Expect(share).To(gomega.BeNumerically("<=", 0.9), "some requests always pass")
		if refused < 20 {
			g.Expect(share).To(gomega.BeZero(), "most requests succeed")
		}
		last = share
	}
	g.Expect(last).To(gomega.BeNumerically("~", 0.9))
}

func TestHysteresis(t *testing.T) {
	g := gomega.NewWithT(t)
	var m shed.Monitor
	now := load(&m, epoch, 18)
	g.Expect(m.Share(now)).To(gomega.BeZero(), "45 % does not engage")
	now = load(&m, now.Add(3*time.Second), 32)
	g.Expect(m.Share(now)).To(gomega.BeNumerically(">", 0.5))
	now = now.Add(3 * time.Second)
	for range 3 {
		now = load(&m, now, 18)
		g.Expect(m.Share(now)).To(gomega.BeNumerically(">", 0), "45 % does not release")
	}
	now = load(&m, now.Add(3*time.Second), 0)
	m.Share(now)
	now = load(&m, now, 0)
	g.Expect(m.Share(now)).To(gomega.BeZero(), "released after a second below the lower limit")
}

func TestNoSheddingBelowTheMinimumOfRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var m shed.Monitor
	for range 10 {
		m.Request(epoch)
		m.Refused(epoch)
	}
	g.Expect(m.Share(epoch)).To(gomega.BeZero())
}

// requests adds 40 requests to a service over a window. Every step-th request
// calls the called service; all calls are refused.
func requests(set *shed.Set, service, called topo.Service, step int) time.Time {
	now := epoch
	for i := range 40 {
		now = now.Add(50 * time.Millisecond)
		set.Add(now, site(), service, false, false)
		if i%step == 0 {
			set.Add(now, site(), called, true, true)
		}
	}
	return now
}

func TestWholeChainIsShed(t *testing.T) {
	g := gomega.NewWithT(t)
	set := shed.NewSet()
	now := requests(set, "licensing", "logs", 1)
	g.Expect(set.Share(now, site(), "licensing")).To(gomega.BeNumerically(">", 0.5))
	g.Expect(set.Share(now, site(), "portal")).To(gomega.BeNumerically(">", 0.5))
	g.Expect(set.Share(now, site(), "logs")).To(gomega.BeZero(), "the overloaded service itself is not shed")
}

func TestRequestsThatRarelyCallAreNotShed(t *testing.T) {
	g := gomega.NewWithT(t)
	set := shed.NewSet()
	now := requests(set, "licensing", "logs", 3)
	g.Expect(set.Share(now, site(), "licensing")).To(gomega.BeZero(), "two in three succeed")
}

func TestRefusalsOfCallersOwnRequestsAreNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	set := shed.NewSet()
	now := requests(set, "licensing", "portal", 1) // licensing does not depend on portal
	for range 100 {
		set.Add(now, site(), "logs", false, true)
	}
	g.Expect(set.Share(now, site(), "licensing")).To(gomega.BeZero())
	set.Add(now, nil, "licensing", true, true) // before the first site configuration
}

func TestShareIsWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m shed.Monitor
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				m.Request(now)
			}
			if rapid.Bool().Draw(t, "refused") {
				m.Refused(now)
			}
			if share := m.Share(now); share < 0 || share > 0.9 {
				t.Fatalf("share %v", share)
			}
		}
	})
}
