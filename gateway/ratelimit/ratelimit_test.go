package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

func membersOf(count int) []view.Member {
	var members []view.Member
	for i := range count {
		members = append(members, view.Member{Node: fmt.Sprint("node-", i), Zone: string(rune('a' + i%3))})
	}
	return members
}

// Nodes know the members in any order, and count for a share of the cold servers each.
func TestOneNodeOfTheServersZoneCounts(t *testing.T) {
	for _, nodes := range []int{8, 68, 295} {
		g := gomega.NewWithT(t)
		members := membersOf(nodes)
		reversed := make([]view.Member, nodes)
		for i, m := range members {
			reversed[nodes-1-i] = m
		}
		counted := map[string]int{}
		for i := range 60 {
			server := site.Server{ID: site.ServerID(fmt.Sprint("server-", i)), Zone: "b"}
			counter, found := ratelimit.Counter(server, members)
			again, _ := ratelimit.Counter(server, reversed)
			g.Expect(found).To(gomega.BeTrue())
			g.Expect(again).To(gomega.Equal(counter))
			g.Expect(counter.Zone).To(gomega.Equal("b"))
			counted[counter.Node]++
		}
		g.Expect(len(counted)).To(gomega.BeNumerically(">=", 2), "%d nodes", nodes)
	}
}

func TestServersWithoutNodesInTheirZoneAreCountedToo(t *testing.T) {
	g := gomega.NewWithT(t)
	_, found := ratelimit.Counter(site.Server{ID: "s", Zone: "x"}, membersOf(3))
	g.Expect(found).To(gomega.BeTrue())
	_, found = ratelimit.Counter(site.Server{ID: "s", Zone: "x"}, nil)
	g.Expect(found).To(gomega.BeFalse())
}

// Guards against the crash of a cold server: the greatest number of requests in a second, also of
// two or three nodes that count at the same time, is within the rate that it tolerates, times 1.5,
// plus 8.
func TestBudgetBoundsTheRequestsOfAnySecond(t *testing.T) {
	for _, counters := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(counters), func(t *testing.T) { checkRequestsOfAnySecond(t, counters) })
	}
}

func checkRequestsOfAnySecond(t *testing.T, counters int) {
	g := gomega.NewWithT(t)
	const rate = 2.9
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budgets := make([]ratelimit.Budget, counters)
	var sent []time.Time
	for now := begin; now.Before(begin.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for i := range budgets {
			if budgets[i].Has(rate, now) {
				budgets[i].Spend(rate, now)
				sent = append(sent, now)
			}
		}
	}
	most := 0
	for i, first := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	t.Logf("most in a second: %d", most)
	g.Expect(float64(most)).To(gomega.BeNumerically("<=", rate*1.5+8))
	g.Expect(float64(len(sent))).To(gomega.BeNumerically(">=", float64(counters)*5*rate), "the rate is used")
}

func TestNextRequestIsAllowedWhenTheBudgetSays(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var budget ratelimit.Budget
	for budget.Has(2, now) {
		budget.Spend(2, now)
	}
	next := budget.NextAt(2, now)
	g.Expect(next.Sub(now)).To(gomega.Equal(500 * time.Millisecond))
	g.Expect(budget.Has(2, next)).To(gomega.BeTrue())
}
