package view_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// named returns an answer with a limit that arrived at a time.
func named(rate float64, at time.Time) site.NamedLimit {
	return site.NamedLimit{Rate: rate, IsNamed: true, At: at}
}

func stateWithServers(ids ...site.ServerID) *view.State {
	servers := map[site.ServerID]site.Server{}
	for _, id := range ids {
		servers[id] = site.Server{ID: id, Service: "s"}
	}
	state := view.NewState()
	state.MergeServers(view.Servers{Offset: 1, Servers: servers})
	return state
}

// Answers of a server arrive at several nodes and pass each other on their way.
func TestNewestAnswerOfAServerCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := stateWithServers("i")
	merge := func(limit site.NamedLimit) []view.LimitChange {
		return s.MergeLimits(map[site.ServerID]site.NamedLimit{"i": limit})
	}
	rate := func() (float64, bool) {
		limit, isNamed := s.Now().Limits.Of("s", "i")
		return limit.Rate, isNamed
	}
	g.Expect(merge(site.NamedLimit{At: now})).To(gomega.BeEmpty(), "there was none")
	g.Expect(merge(named(5, now))).To(gomega.HaveLen(1))
	g.Expect(merge(named(9, now.Add(-time.Second)))).To(gomega.BeEmpty(), "an older answer")
	g.Expect(merge(site.NamedLimit{At: now.Add(-time.Second)})).To(gomega.BeEmpty(), "an older answer without one")
	got, isNamed := rate()
	g.Expect(isNamed).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(5.0))
	before := s.Now()
	g.Expect(merge(named(5, now.Add(100*time.Millisecond)))).To(gomega.BeEmpty())
	g.Expect(s.Now()).To(gomega.BeIdenticalTo(before), "not each answer makes a new view")
	g.Expect(merge(named(5, now.Add(2*time.Second)))).To(gomega.BeEmpty(), "no change, but confirmed")
	latest, _ := s.Now().Limits.Of("s", "i")
	g.Expect(latest.At).To(gomega.Equal(now.Add(2 * time.Second)))
	changes := merge(named(1, now.Add(3*time.Second)))
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Before.Rate).To(gomega.Equal(5.0))
	g.Expect(merge(site.NamedLimit{At: now.Add(4 * time.Second)})).To(gomega.HaveLen(1))
	_, isNamed = rate()
	g.Expect(isNamed).To(gomega.BeFalse(), "lifted")
	g.Expect(merge(named(1, now.Add(3500*time.Millisecond)))).To(gomega.BeEmpty(), "answered before it was lifted")
	g.Expect(s.Now().Limits.Valid(now)).To(gomega.HaveKey(site.ServerID("i")), "other nodes are notified of that")
	g.Expect(s.Now().Limits.Rates(now)).To(gomega.BeEmpty())
}

func TestLimitsOfServersThatWereNeverRegisteredAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := stateWithServers("i", "k")
	s.MergeLimits(map[site.ServerID]site.NamedLimit{"i": named(5, now), "unknown": named(5, now)})
	g.Expect(s.Now().Limits.Rates(now)).To(gomega.Equal(map[site.ServerID]float64{"i": 5}))
	g.Expect(s.Now().Limits.Rates(now.Add(time.Minute))).To(gomega.BeEmpty(), "not believed without newer answers")
}

// Guards against servers that get too many requests when their entries are back, since the entry of a server
// that runs may expire.
func TestLimitsOutliveMissingEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := stateWithServers("i", "j", "k")
	register := func(offset store.Offset, ids ...site.ServerID) {
		servers := map[site.ServerID]site.Server{}
		for _, id := range ids {
			servers[id] = site.Server{ID: id, Service: "s"}
		}
		s.MergeServers(view.Servers{Offset: offset, Servers: servers})
	}
	isNamed := func(id site.ServerID) bool {
		_, isNamed := s.Now().Limits.Of("s", id)
		return isNamed
	}
	s.MergeLimits(map[site.ServerID]site.NamedLimit{"i": named(5, now.Add(-14*time.Second)), "j": named(5, now.Add(-time.Minute))})
	register(2, "k")
	s.MergeLimits(map[site.ServerID]site.NamedLimit{"k": named(2, now)})
	g.Expect(isNamed("j")).To(gomega.BeFalse(), "gone for a minute")
	g.Expect(isNamed("i")).To(gomega.BeTrue())
	register(3, "i", "k")
	g.Expect(isNamed("i")).To(gomega.BeTrue(), "until an answer says otherwise")
	s.MergeLimits(map[site.ServerID]site.NamedLimit{"i": {At: now}})
	g.Expect(isNamed("i")).To(gomega.BeFalse(), "lifted by a newer answer")
}

// Guards against servers that get more than the limit that they name when they restart: the next incarnation was
// taken for one without a limit until it had answered.
func TestLimitHoldsForTheNextIncarnationUntilItAnswers(t *testing.T) {
	now := time.Now()
	incarnation := func(n int) site.ServerID { return site.IncarnationID("i", now.Add(time.Duration(n)*time.Second)) }
	first, next := incarnation(0), incarnation(1)
	type answer struct {
		from  site.ServerID
		limit site.NamedLimit
	}
	none := func(after time.Duration) site.NamedLimit { return site.NamedLimit{At: now.Add(after)} }
	for name, row := range map[string]struct {
		service site.ServiceName // of the next incarnation; empty: the same
		isLate  bool             // the node has not heard of the next incarnation
		answers []answer
		rate    float64
		isNamed bool
	}{
		"no answer yet":     {rate: 5, isNamed: true},
		"it names the same": {answers: []answer{{next, named(5, now.Add(time.Second))}}, rate: 5, isNamed: true},
		"it names another":  {answers: []answer{{next, named(2, now.Add(time.Second))}}, rate: 2, isNamed: true},
		"it has none":       {answers: []answer{{next, none(time.Second)}}},
		"it has none, and an older answer arrives":     {answers: []answer{{next, none(time.Second)}, {first, named(5, now.Add(time.Second/2))}}},
		"it names one, the one before has none":        {answers: []answer{{next, named(2, now.Add(time.Second))}, {first, none(2 * time.Second)}}, rate: 2, isNamed: true},
		"the same, at a node that knows of it late":    {isLate: true, answers: []answer{{next, named(2, now.Add(time.Second))}}, rate: 2, isNamed: true},
		"it has none, at a node that knows of it late": {isLate: true, answers: []answer{{next, none(time.Second)}}},
		"it is of another service":                     {service: "other"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := stateWithServers(first, "k")
			s.MergeLimits(map[site.ServerID]site.NamedLimit{first: named(5, now)})
			service := cmp.Or(row.service, "s")
			if !row.isLate {
				s.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{next: {ID: next, Service: service}}})
			}
			for _, a := range row.answers {
				s.MergeLimits(map[site.ServerID]site.NamedLimit{a.from: a.limit})
			}
			for _, id := range []site.ServerID{first, next} {
				limit, isNamed := s.Now().Limits.Of(service, id)
				g.Expect(isNamed).To(gomega.Equal(row.isNamed))
				if isNamed {
					g.Expect(limit.Rate).To(gomega.Equal(row.rate))
				}
			}
		})
	}
}

// The log tells which incarnation a limit is from.
func TestChangeOfALimitTellsTheIncarnations(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	first, next := site.IncarnationID("i", now), site.IncarnationID("i", now.Add(time.Second))
	s := stateWithServers(first)
	g.Expect(s.MergeLimits(map[site.ServerID]site.NamedLimit{first: named(5, now)})).To(gomega.HaveLen(1))
	s.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{next: {ID: next, Service: "s"}}})
	g.Expect(s.Now().Limits.Rates(now)).To(gomega.HaveKey(first))
	changes := s.MergeLimits(map[site.ServerID]site.NamedLimit{next: named(5, now.Add(time.Second))})
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Server).To(gomega.Equal(next))
	g.Expect(changes[0].ServerBefore).To(gomega.Equal(first))
	g.Expect(s.Now().Limits.Rates(now)).To(gomega.HaveKey(next))
}
