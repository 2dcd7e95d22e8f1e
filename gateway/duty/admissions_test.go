package duty

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// newMixedLessor returns a lessor of a site with one service of ten servers with two slots, and routes of two priorities.
func newMixedLessor() *Duty {
	d := New()
	d.State, d.Logger = view.NewState(), hclog.NewNullLogger()
	to := []site.Target{{Service: "s", Weight: 1}}
	routes := []site.Route{{Name: "urgent", Host: "h", Prefix: "/u/", Priority: 0, Targets: to}, {Name: "patient", Host: "h", Prefix: "/p/", Priority: 2, Targets: to}}
	d.State.MergeConfig(&site.Config{Version: 1, Routes: routes, Services: map[site.ServiceName]site.Service{"s": {Name: "s"}}})
	servers := map[site.ServerID]site.Server{}
	for i := range 10 {
		id := site.ServerID(fmt.Sprintf("s%d", i))
		servers[id] = site.Server{ID: id, Service: "s", Zone: "a", Slots: 2}
	}
	d.State.MergeServers(view.Servers{Offset: 1, Servers: servers})
	d.beginGuidance(clock.Now())
	return d
}

// overloadReport returns half a second of requests for twice what the servers run, and the answers of full servers.
func overloadReport(route string) follow.Report {
	report := follow.Report{Classes: []*bspb.ClassCount{{Service: "s", Priority: 0, Requests: 10}, {Service: "s", Priority: 2, Requests: 60}}}
	for i := range 10 {
		for _, of := range []string{"urgent", "patient"} {
			pace := &bspb.ServerPace{Server: fmt.Sprintf("s%d", i), Answers: 5, Count: 5, TotalUs: 1_500_000, Busy: 10, Queued: 10, Route: of}
			if route == "" {
				pace = &bspb.ServerPace{Server: pace.Server, MeanUs: 300_000, Answers: 5, Present: 25}
			}
			report.Paces = append(report.Paces, pace)
		}
	}
	return report
}

// decideAfter returns the guidance after some rounds of reports.
func decideAfter(d *Duty, rounds int, route string) guidance.Guidance {
	now := clock.Now()
	var g guidance.Guidance
	for range rounds {
		now = now.Add(guidanceInterval)
		report := overloadReport(route)
		for _, c := range report.Classes {
			d.mix.Count(site.ServiceName(c.Service), int(c.Priority), int(c.Requests))
		}
		d.admissions.measure(d.State.Now(), report, now)
		g = d.decideGuidance(d.State.Now(), now)
	}
	return g
}

// Guards against reports that do not reach the decision, and against a decision by nodes of the previous release, which do
// not report the work of routes.
func TestLessorDecidesAdmissionsByReports(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newMixedLessor()
	decided := decideAfter(d, 6, "patient")
	g.Expect(decided.HasMixed("s")).To(gomega.BeTrue())
	g.Expect(decided.Admissions["s"][2]).To(gomega.BeNumerically("<", 0.9))
	g.Expect(decided.Admissions["s"][0]).To(gomega.BeNumerically("==", 1))
	g.Expect(d.admissions.dump(true)).To(gomega.HaveLen(1))
	g.Expect(d.admissions.dump(false)).To(gomega.BeEmpty())
	g.Expect(decideAfter(newMixedLessor(), 6, "").Admissions).To(gomega.BeEmpty(), "no work is known")
}

// Guards against measurements of services that are not mixed, which grow by every incarnation of a server.
func TestLessorMeasuresMixedServicesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newMixedLessor()
	now := clock.Now()
	for range 6 {
		now = now.Add(guidanceInterval)
		d.admissions.measure(d.State.Now(), overloadReport("patient"), now)
		g.Expect(d.decideGuidance(d.State.Now(), now).IsMixed()).To(gomega.BeFalse())
	}
	g.Expect(d.admissions.meter.Demands("s", now)).To(gomega.BeEmpty())
}

// Guards against a surge that all nodes admit for some seconds since the lessor has changed.
func TestNewLessorKeepsTheAdmissionsOfItsNode(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newMixedLessor()
	d.State.MergeGuidance(view.Guidance{Offset: 1, Serial: 1, Guidance: guidance.Guidance{Mixed: []site.ServiceName{"s"}, Admissions: map[site.ServiceName]guidance.Admission{"s": {0: 1, 2: 0.4}}}})
	v, now := d.State.Now(), clock.Now()
	d.beginGuidance(now)
	kept := d.decideGuidance(v, now)
	g.Expect(kept.HasMixed("s")).To(gomega.BeTrue())
	g.Expect(kept.Admissions["s"][2]).To(gomega.Equal(0.4))
	g.Expect(d.decideGuidance(v, now.Add(6*time.Second)).Admissions).To(gomega.BeEmpty())
}
