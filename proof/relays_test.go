package proof_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/demo"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/settings"
)

// relayCases are fault cases for relays; behindRelays names rows of
// faultCases that are repeated with one relay in each zone.
var relayCases = []faultCase{
	{name: "log relay lost", servers: 1, faults: func(_ context.Context, r *run, s []*demo.SiteServer) {
		r.KillNode(r.relayOf(r.lessorOf(s[0]).Zone))
	}},
	{name: "log relay and a server lost together", servers: 1, faults: func(_ context.Context, r *run, s []*demo.SiteServer) {
		r.KillNode(r.relayOf(r.lessorOf(s[0]).Zone))
		r.KillServer(s[0])
	}},
	{name: "log away for every relay", servers: 1, faults: func(ctx context.Context, r *run, s []*demo.SiteServer) {
		for zone := range zonesOfSite {
			relay := r.relayOf(zone)
			relay.Log.Down()
			defer relay.Log.Heal()
		}
		pause(ctx, pastLease)
		r.KillServer(s[0])
		pause(ctx, pastLease)
	}},
}

const zonesOfSite = 3

var behindRelays = []string{
	"no fault", "server lost", "lessor lost", "lessor and a server of its group lost together",
	"log away for everybody", "log away, a server lost meanwhile", "log away for a zone", "log slow",
	"appends take effect late while a server is lost", "lessor cut off from the other nodes",
	"zone cut off from the others and from the log", "every node cut off from every other",
	"open connections go silent twice",
}

// relayOf returns the node of the zone that reads the log directly and serves the other node.
func (r *run) relayOf(zone int) *demo.SiteNode {
	var relay *demo.SiteNode
	gomega.NewWithT(r.t).Eventually(func() int {
		reading := 0
		r.eachRunningNode(zone, func(n *demo.SiteNode) {
			if sourceOf(r.t, n) == "log" {
				relay = n
				reading++
			}
		})
		return reading
	}).WithTimeout(30 * time.Second).Should(gomega.Equal(1))
	return relay
}

func sourceOf(t *testing.T, n *demo.SiteNode) string {
	contact, err := kernel.Use[follower.Contact](n.Context())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return contact.(*follower.Follower).Dump(time.Now()).Source
}

func TestSitesBehindRelaysUnderFaults(t *testing.T) {
	rows := relayCases
	for _, name := range behindRelays {
		rows = append(rows, rowOf(t, name))
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			options := smallSiteWith(row.top, row.service)
			options.Adjust = func(s *settings.Settings) { s.Timing.LogRelays = 1 }
			ctx, r := startRun(t, options)
			servers := r.owners(row.servers)
			for zone := range zonesOfSite {
				r.relayOf(zone) // one node reads the log, the other reads from the relay
			}
			r.exercise(ctx, func(ctx context.Context, r *run) {
				pause(ctx, settle)
				row.faults(ctx, r, servers)
			}, servers...)
		})
	}
}

func rowOf(t *testing.T, name string) faultCase {
	for _, row := range faultCases {
		if row.name == name {
			return row
		}
	}
	t.Fatalf("no row %q", name)
	return faultCase{}
}
