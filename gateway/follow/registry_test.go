package follow

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// both contains the servers in the view.
var both = map[site.ServerID]site.Server{"a": {ID: "a"}, "b": {ID: "b"}}

func put(r *Registry, server site.Server, end store.Offset, now time.Time) {
	_, _ = r.Put(site.RegistryEntry{Server: server}, end, now) // only entries with a start time can be refused
}

// filled returns a registry that has read servers a and b before offset 10.
func filled() *Registry {
	r := NewRegistry()
	r.Retain(map[site.ServerName]bool{"a": true, "b": true}, 10, start)
	put(r, site.Server{ID: "a"}, 10, start)
	put(r, site.Server{ID: "b"}, 10, start)
	return r
}

func TestServerThatLeavesIsRemovedAtOnceAfterPauseInReading(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	// In the meantime the node followed another one and did not read.
	r.NoteRead(2, 12, after(9*time.Second))
	r.Remove("a", 11, after(9*time.Second))
	g.Expect(r.Servers(both, after(9*time.Second)).Servers).NotTo(gomega.HaveKey(site.ServerID("a")))
}

func TestEntryExpiredInOutageIsKeptForGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.NoteReadFailed(after(time.Second))
	r.NoteReadFailed(after(3 * time.Second))
	r.NoteRead(2, 12, after(5*time.Second))
	r.Remove("a", 11, after(5*time.Second))
	r.Remove("b", 12, after(5*time.Second))
	g.Expect(r.Servers(both, after(6*time.Second)).Servers).To(gomega.HaveLen(2))

	put(r, site.Server{ID: "a"}, 13, after(6*time.Second))
	g.Expect(r.Servers(both, after(5*time.Second+reregistrationTime)).Servers).To(gomega.And(
		gomega.HaveKey(site.ServerID("a")), gomega.Not(gomega.HaveKey(site.ServerID("b")))))
}

func TestOutageOfThisNodeAloneKeepsNoEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.NoteReadFailed(after(time.Second))
	r.NoteRead(6, 16, after(5*time.Second)) // each server wrote three times in the meantime
	r.Remove("a", 11, after(5*time.Second))
	g.Expect(r.Servers(both, after(5*time.Second)).Servers).NotTo(gomega.HaveKey(site.ServerID("a")))
}

func TestDrainingIsAppliedAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.NoteReadFailed(after(time.Second))
	r.NoteRead(2, 12, after(5*time.Second))
	put(r, site.Server{ID: "a", Draining: true}, 12, after(5*time.Second))
	g.Expect(r.Servers(both, after(5*time.Second)).Servers["a"].Draining).To(gomega.BeTrue())
}

func TestWarmUpCountdownIsNoChange(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	put(r, site.Server{ID: "c", WarmUp: 3 * time.Second}, 11, start)
	before := r.Servers(both, start).Offset
	put(r, site.Server{ID: "c", WarmUp: 2 * time.Second}, 12, start)
	g.Expect(r.Servers(both, start).Offset).To(gomega.Equal(before))
	g.Expect(before).To(gomega.Equal(store.Offset(11)))
}

// A server may turn cold at any moment. It crashes if the nodes that follow others do not get to
// know.
func TestTurningColdIsAChange(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	put(r, site.Server{ID: "c", WarmUp: 3 * time.Second}, 11, start)
	for i, c := range []struct {
		warmUp   time.Duration
		isChange bool
	}{
		{2 * time.Second, false},
		{0, true},
		{0, false},
		{3 * time.Second, true},
		{time.Second, false},
		{5 * time.Second, true},
	} {
		end := store.Offset(12 + i)
		put(r, site.Server{ID: "c", WarmUp: c.warmUp}, end, start)
		servers := r.Servers(both, start)
		g.Expect(servers.Offset == end).To(gomega.Equal(c.isChange), "%v", c)
		g.Expect(servers.Servers["c"].IsCold()).To(gomega.Equal(c.warmUp > 0), "%v", c)
	}
}

// Another node may have reported that a server left before this one reads again after an
// outage. The server must not return.
func TestServerKnownToHaveLeftDoesNotReturnAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	r := filled()
	r.NoteReadFailed(after(time.Second))
	r.Retain(nil, 20, after(5*time.Second))
	current := map[site.ServerID]site.Server{"b": {ID: "b"}}
	servers := r.Servers(current, after(5*time.Second)).Servers
	g.Expect(servers).NotTo(gomega.HaveKey(site.ServerID("a")))
	g.Expect(servers).To(gomega.HaveKey(site.ServerID("b")))
}

// A node that follows another one again does not read, but the grace period of its entries
// must end nevertheless.
func TestKeptEntriesExpireWhileNodeDoesNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Reader{State: view.NewState(), Logger: hclog.NewNullLogger(), registry: filled()}
	r.publishServers(start)
	r.registry.NoteReadFailed(after(time.Second))
	r.registry.Retain(nil, 20, after(5*time.Second))
	r.publishServers(after(6 * time.Second))
	g.Expect(r.State.Now().Servers.Servers).To(gomega.HaveLen(2))
	r.publishServers(after(5*time.Second + reregistrationTime))
	g.Expect(r.State.Now().Servers.Servers).To(gomega.BeEmpty())
}
