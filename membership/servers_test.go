package membership_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func row(phase vmlist.Phase) vmlist.VM {
	return vmlist.VM{
		ID: "s1", Role: vmlist.RoleServer, Service: "logs", Zone: "zone-a", Address: "127.0.0.1:2", Phase: phase,
	}
}

// listed is the state of server s1 in the latest list.
type listed string

const (
	live    listed = "live"
	leaving listed = "leaving"
	gone    listed = "gone" // in two lists in a row
	missing listed = "missing"
)

// roster returns a roster whose lists have shown a kind of row for the given
// duration.
func roster(kind listed, lasted time.Duration, now time.Time) *membership.Roster {
	r := membership.NewRoster()
	r.ObserveState(siteWithLessor(state.PhaseLive).View(), now.Add(-2*time.Hour))
	r.Update([]vmlist.VM{row(vmlist.PhaseLive)}, now.Add(-lasted-time.Second))
	var vms []vmlist.VM
	if kind != missing {
		vms = []vmlist.VM{row(vmlist.Phase(kind))}
	}
	r.Update(vms, now.Add(-lasted))
	r.Update(vms, now)
	return r
}

// reported is the state of server s1 as reported by its lessor.
type reported string

const (
	nothing  reported = "nothing"
	serving  reported = "serving"
	draining reported = "draining"
	silent   reported = "unresponsive for long"
	brief    reported = "unresponsive for a moment"
	stale    reported = "serving, but the report is old"
)

func reportsOf(kind reported, now time.Time) map[topo.ServerID]membership.ServerReport {
	report := membership.ServerReport{At: now}
	switch kind {
	case nothing:
		return nil
	case draining:
		report.Draining = true
	case silent:
		report = membership.ServerReport{At: now.Add(-time.Hour), Silent: now.Add(-time.Hour)}
	case brief:
		report.Silent = now.Add(-membership.UnresponsiveServerAfter + time.Millisecond)
	case stale:
		report.At = now.Add(-membership.MaxReportAge)
	}
	return map[topo.ServerID]membership.ServerReport{"s1": report}
}

// TestPhaseOfAServer covers the phase that follows from the VM list, which may lag
// in both directions, together with the server's own report.
func TestPhaseOfAServer(t *testing.T) {
	const (
		none      = state.Phase(0) // not in the state
		nodeOther = "other"        // holds the role; not the lessor
	)
	cases := []struct {
		name   string
		list   listed
		lasted time.Duration
		word   reported
		self   string // "lessor", or another node which holds the role
		before state.Phase
		after  state.Phase
		lost   bool
	}{
		{"new server", live, 0, nothing, nodeOther, none, state.PhaseLive, false},
		{"new server, which the lessor does not add", live, 0, nothing, "lessor", none, none, false},
		{"new but already leaving", leaving, 0, nothing, nodeOther, none, none, false},
		{"new but already gone", gone, 0, nothing, nodeOther, none, none, false},
		{"both agree", live, 0, serving, "lessor", state.PhaseLive, state.PhaseLive, false},
		{"list leads: leaving", leaving, 0, serving, "lessor", state.PhaseLive, state.PhaseDraining, false},
		{"leaving, seen by the holder", leaving, 0, nothing, nodeOther, state.PhaseLive, state.PhaseDraining, false},
		{"list lags: the server drains", live, time.Hour, draining, "lessor", state.PhaseLive, state.PhaseDraining, false},
		{"list lags: the drain stays", live, time.Hour, draining, "lessor", state.PhaseDraining, state.PhaseDraining, false},
		{"the holder cannot undo a drain", live, time.Hour, nothing, nodeOther, state.PhaseDraining, state.PhaseDraining, false},
		{"a drain without a report stays", live, time.Hour, nothing, "lessor", state.PhaseDraining, state.PhaseDraining, false},
		{"a drain with an old report stays", live, time.Hour, stale, "lessor", state.PhaseDraining, state.PhaseDraining, false},
		{"returned according to both", live, 0, serving, "lessor", state.PhaseDraining, state.PhaseLive, false},
		{"list lags: still leaving, the server serves", leaving, time.Hour, serving, "lessor", state.PhaseDraining, state.PhaseDraining, false},
		{"list lags: live, the server is unresponsive", live, time.Hour, silent, "lessor", state.PhaseLive, state.PhaseDraining, false},
		{"unresponsive for a moment", live, time.Hour, brief, "lessor", state.PhaseLive, state.PhaseLive, false},
		{"gone and unresponsive", gone, time.Second, silent, "lessor", state.PhaseLive, state.PhaseGone, true},
		{"wrong list: gone, but it answers", gone, time.Hour, serving, "lessor", state.PhaseLive, state.PhaseDraining, false},
		{"wrong list: gone, unresponsive for a moment", gone, time.Hour, brief, "lessor", state.PhaseLive, state.PhaseDraining, false},
		{"gone, the holder has no report", gone, time.Hour, nothing, nodeOther, state.PhaseLive, state.PhaseDraining, false},
		{"wrong list: missing, but it answers", missing, time.Hour, serving, "lessor", state.PhaseLive, state.PhaseLive, false},
		{"missing, the holder has no report", missing, time.Hour, nothing, nodeOther, state.PhaseLive, state.PhaseLive, false},
		{"missing for a moment and unresponsive", missing, time.Second, silent, "lessor", state.PhaseLive, state.PhaseDraining, false},
		{"confirmed gone stays gone while shards refer to it", live, 0, serving, "lessor", state.PhaseGone, state.PhaseGone, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			site := siteWithLessor(c.before)
			o := observed(c.self, roster(c.list, c.lasted, start), reportsOf(c.word, start))
			changes := membership.DecideServers(site.View(), o)
			applyChanges(site, changes)
			server, _ := site.View().Server("s1")
			g.Expect(server.Phase).To(gomega.Equal(c.after))
			g.Expect(len(changes.Lost) > 0).To(gomega.Equal(c.lost))
			again := membership.DecideServers(site.View(), o)
			g.Expect(again.Empty()).To(gomega.BeTrue(), "a second decision changes nothing")
		})
	}
}

// siteWithLessor returns a site with a service whose only shard is owned by s1. The
// server is in the given phase, or absent if the phase is 0.
func siteWithLessor(phase state.Phase) *sitefake.Site {
	site := sitefake.New()
	site.Publish(sitefake.Keyed("logs", 1))
	site.Join("lessor", "zone-a")
	site.Join("other", "zone-a")
	site.Lessor("zone-a", "lessor")
	if phase == 0 {
		return site
	}
	site.Server("s1", "logs", "zone-a", state.PhaseLive)
	assign(site, "s1")
	if phase != state.PhaseLive {
		site.Server("s1", "logs", "zone-a", phase)
	}
	return site
}

func assign(site *sitefake.Site, owner string) {
	site.Apply("planner@1", &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: &bspb.AssignShards{
		Assignments: []*bspb.Assignment{{Shard: &bspb.ShardRef{Service: "logs"}, Owner: owner}},
	}}})
}

func observed(self string, r *membership.Roster, reports map[topo.ServerID]membership.ServerReport) *membership.Observed {
	return &membership.Observed{
		Now: start, Self: topo.NodeID(self), Holder: self == "other", Roster: r, Reports: reports,
		Unable: func(topo.NodeID) bool { return false },
	}
}

func applyChanges(site *sitefake.Site, changes membership.ServerChanges) {
	if len(changes.Lost) > 0 {
		site.Apply("node@1", &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{
			Servers: changes.Lost,
		}}})
	}
	site.Apply("node@1", &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
		Upsert: changes.Upsert, Remove: changes.Remove,
	}}})
}

func TestLossIsConfirmedOnlyIfTheSiteTrustsTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	site := siteWithLessor(state.PhaseLive)
	site.PublishSite(&bspb.SiteConfig{Services: []*bspb.ServiceConfig{sitefake.Keyed("logs", 1)}, GroupsPerZone: 1})
	changes := membership.DecideServers(site.View(), observed("lessor", roster(gone, time.Hour, start), reportsOf(silent, start)))
	g.Expect(changes.Lost).To(gomega.BeEmpty())
	g.Expect(changes.Upsert).To(gomega.HaveLen(1))
	g.Expect(changes.Upsert[0].Phase).To(gomega.Equal(bspb.ServerPhase_SERVER_PHASE_DRAINING))
}

func TestOneListThatCallsAServerGoneIsNotEnough(t *testing.T) {
	g := gomega.NewWithT(t)
	site := siteWithLessor(state.PhaseLive)
	r := membership.NewRoster()
	r.Update([]vmlist.VM{row(vmlist.PhaseGone)}, start)
	changes := membership.DecideServers(site.View(), observed("lessor", r, reportsOf(silent, start)))
	g.Expect(changes.Lost).To(gomega.BeEmpty())
	r.Update([]vmlist.VM{row(vmlist.PhaseGone)}, start.Add(time.Second))
	changes = membership.DecideServers(site.View(), observed("lessor", r, reportsOf(silent, start)))
	g.Expect(changes.Lost).To(gomega.ConsistOf("s1"))
}

func TestAServerIsRemovedOnceNoShardRefersToIt(t *testing.T) {
	cases := []struct {
		name    string
		list    listed
		lasted  time.Duration
		word    reported
		named   bool
		removed bool
	}{
		{"missing for long, unresponsive, no shard refers to it", missing, membership.RemoveServerAfter, silent, false, true},
		{"missing not long enough", missing, membership.RemoveServerAfter - time.Second, silent, false, false},
		{"missing for long but it answers", missing, time.Hour, serving, false, false},
		{"missing for long but a shard refers to it", missing, time.Hour, silent, true, false},
		{"gone and unresponsive", gone, time.Second, silent, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			site := siteWithLessor(0)
			site.Server("s1", "logs", "zone-a", state.PhaseDraining)
			if c.named {
				site = siteWithLessor(state.PhaseLive)
			}
			o := observed("lessor", roster(c.list, c.lasted, start), reportsOf(c.word, start))
			removed := membership.DecideServers(site.View(), o).Remove
			g.Expect(len(removed) > 0).To(gomega.Equal(c.removed))
		})
	}
}

// TestTheHolderDecidesForServersOfAMissingLessor covers a lessor whose node is lost: the
// holder of the role then decides about its servers.
func TestTheHolderDecidesForServersOfAMissingLessor(t *testing.T) {
	g := gomega.NewWithT(t)
	site := siteWithLessor(state.PhaseLive)
	o := observed("other", roster(gone, time.Hour, start), nil)
	o.Unable = func(id topo.NodeID) bool { return id == "lessor" }
	g.Expect(membership.DecideServers(site.View(), o).Lost).To(gomega.ConsistOf("s1"))
}

func TestAbsenceCountsOnlyWhileListsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster()
	view := siteWithLessor(state.PhaseLive).View()
	r.ObserveState(view, start)
	g.Expect(r.AbsentFor("s1")).To(gomega.BeZero(), "no list yet")
	r.Update([]vmlist.VM{row(vmlist.PhaseLive)}, start)
	r.Update(nil, start.Add(time.Second))
	g.Expect(r.AbsentFor("s1")).To(gomega.BeZero())
	// After an outage of an hour, the list is read once.
	r.Update(nil, start.Add(3*time.Second))
	g.Expect(r.AbsentFor("s1")).To(gomega.Equal(2 * time.Second))
	r.Update([]vmlist.VM{row(vmlist.PhaseLive)}, start.Add(time.Hour))
	r.Update(nil, start.Add(2*time.Second)) // a late answer to an earlier read
	_, listed := r.Row("s1")
	g.Expect(listed).To(gomega.BeTrue())
}

// TestAServerThatNoListHasShownYetIsNotMissing covers a server that another node has
// added from a newer list than this node has read.
func TestAServerThatNoListHasShownYetIsNotMissing(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster()
	r.ObserveState(siteWithLessor(0).View(), start.Add(-time.Hour))
	r.Update(nil, start.Add(-time.Second))
	r.ObserveState(siteWithLessor(state.PhaseLive).View(), start)
	o := observed("other", r, nil)
	o.Unable = func(topo.NodeID) bool { return true }
	changes := membership.DecideServers(siteWithLessor(state.PhaseLive).View(), o)
	g.Expect(changes.Empty()).To(gomega.BeTrue())
}

// TestAnOldListIsIgnored covers a list that is older than MaxListAge and was read
// before the server was added.
func TestAnOldListIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	r := roster(missing, time.Hour, start.Add(-membership.MaxListAge-1))
	o := observed("other", r, nil)
	o.Unable = func(topo.NodeID) bool { return true }
	changes := membership.DecideServers(siteWithLessor(state.PhaseLive).View(), o)
	g.Expect(changes.Empty()).To(gomega.BeTrue())
}

func TestGroupsAreEvenAndStable(t *testing.T) {
	g := gomega.NewWithT(t)
	moved, counts := 0, map[topo.GroupID]int{}
	for i := range 1000 {
		id := topo.ServerID(string(rune('a'+i%26)) + string(rune('0'+i/26)))
		before := membership.AssignGroup("zone-a", id, 3)
		after := membership.AssignGroup("zone-a", id, 4)
		counts[before]++
		if before != after {
			moved++
			g.Expect(after).To(gomega.BeEquivalentTo("zone-a/3"), "only the new group takes servers")
		}
	}
	g.Expect(moved).To(gomega.BeNumerically("~", 250, 60))
	for _, count := range counts {
		g.Expect(count).To(gomega.BeNumerically("~", 333, 60))
	}
}

// TestAServerThatShardsReferToKeepsItsGroup changes the number of groups per zone. A
// server that a shard refers to keeps its group.
func TestAServerThatShardsReferToKeepsItsGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, named := range []bool{true, false} {
		site := siteWithLessor(0)
		site.Server("s1", "logs", "zone-a", state.PhaseLive)
		if named {
			assign(site, "s1")
		}
		perZone := groupsThatMove("s1")
		site.PublishSite(&bspb.SiteConfig{
			Services: []*bspb.ServiceConfig{sitefake.Keyed("logs", 1)}, GroupsPerZone: uint32(perZone),
		})
		changes := membership.DecideServers(site.View(), observed("lessor", roster(live, time.Hour, start), reportsOf(serving, start)))
		g.Expect(changes.Empty()).To(gomega.Equal(named))
	}
}

// groupsThatMove returns a number of groups for which a server is not assigned to
// the first one.
func groupsThatMove(id topo.ServerID) int {
	for n := 2; ; n++ {
		if membership.AssignGroup("zone-a", id, n) != "zone-a/0" {
			return n
		}
	}
}
