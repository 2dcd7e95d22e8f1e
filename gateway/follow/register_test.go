package follow

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// filled returns a register that has read servers a and b before offset 10.
func filled() *Register {
	r := NewRegister()
	r.Snapshot(map[site.ServerID]site.Server{"a": {ID: "a"}, "b": {ID: "b"}}, 10, start)
	return r
}

func TestServerThatLeavesIsDroppedAtOnceAfterAPauseInReading(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	// The node followed another one meanwhile and read nothing.
	r.Read(2, 12, after(9*time.Second))
	r.Drop("a", 11, after(9*time.Second))
	g.Expect(r.Servers(after(9 * time.Second)).Servers).NotTo(gomega.HaveKey(site.ServerID("a")))
}

func TestEntryThatLapsedInAnOutageKeepsItsPlaceForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.Failed(after(time.Second))
	r.Failed(after(3 * time.Second))
	r.Read(2, 12, after(5*time.Second))
	r.Drop("a", 11, after(5*time.Second))
	r.Drop("b", 12, after(5*time.Second))
	g.Expect(r.Servers(after(6 * time.Second)).Servers).To(gomega.HaveLen(2))

	r.Put(site.Server{ID: "a"}, 13)
	g.Expect(r.Servers(after(5*time.Second + returnTime)).Servers).To(gomega.And(
		gomega.HaveKey(site.ServerID("a")), gomega.Not(gomega.HaveKey(site.ServerID("b")))))
}

func TestAnOutageOfThisNodeAloneKeepsNoPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.Failed(after(time.Second))
	r.Read(6, 16, after(5*time.Second)) // the servers wrote three times each meanwhile
	r.Drop("a", 11, after(5*time.Second))
	g.Expect(r.Servers(after(5 * time.Second)).Servers).NotTo(gomega.HaveKey(site.ServerID("a")))
}

func TestDrainingIsTakenAlsoAfterAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.Failed(after(time.Second))
	r.Read(2, 12, after(5*time.Second))
	r.Put(site.Server{ID: "a", Draining: true}, 12)
	g.Expect(r.Servers(after(5 * time.Second)).Servers["a"].Draining).To(gomega.BeTrue())
}

func TestCountdownOfTheWarmUpIsNoChange(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.Put(site.Server{ID: "c", WarmUp: 3 * time.Second}, 11)
	before := r.Servers(start).Offset
	r.Put(site.Server{ID: "c", WarmUp: 2 * time.Second}, 12)
	g.Expect(r.Servers(start).Offset).To(gomega.Equal(before))
	g.Expect(before).To(gomega.Equal(store.Offset(11)))
}
