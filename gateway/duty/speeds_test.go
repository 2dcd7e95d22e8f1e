package duty

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// newLearningDuty returns the duty of a lessor of four servers.
func newLearningDuty(learns config.SpeedLearning) *Duty {
	d := New()
	d.LearnSpeeds = func() config.SpeedLearning { return learns }
	d.Logger = hclog.NewNullLogger()
	d.State = view.NewState()
	servers := map[site.ServerID]site.Server{}
	for i := range 4 {
		id := site.ServerID(fmt.Sprint("s", i))
		servers[id] = site.Server{ID: id, Service: "s", Slots: 2}
	}
	d.State.MergeServers(view.Servers{Offset: 1, Servers: servers})
	d.allocator = ranges.NewAllocator(new(ranges.Table), d.Timing, 0, clock.Now())
	return d
}

// report passes reports of 400 answers to the duty; odd servers take three times as long.
func report(d *Duty, route string) {
	for range 100 {
		for i := range uint64(4) {
			mean := 50_000 * (1 + 2*(i%2))
			p := &bspb.ServerPace{Server: fmt.Sprint("s", i), Route: route, MeanUs: mean, Answers: 1}
			if route != "" {
				p.Count, p.TotalUs = 1, mean
			}
			d.handleReport(follow.Report{Paces: []*bspb.ServerPace{p}})
		}
	}
}

// Guards against learned speeds on sites that are not mixed, or although the settings rule them out, and against none where
// the settings ask for them.
func TestSpeedsAreLearnedAsConfigured(t *testing.T) {
	for _, row := range []struct {
		learns  config.SpeedLearning
		isMixed bool
		route   string
		want    bool
	}{
		{config.LearnSpeedsAuto, true, "r", true},
		{config.LearnSpeedsAuto, false, "", false},
		{config.LearnSpeedsAuto, false, "r", false},
		{config.LearnSpeedsOff, true, "r", false},
		{config.LearnSpeedsOn, false, "", true},
		{config.LearnSpeedsOn, true, "r", true},
	} {
		g := gomega.NewWithT(t)
		d := newLearningDuty(row.learns)
		now := clock.Now()
		d.updateSpeeds(d.State.Now(), row.isMixed, now)
		report(d, row.route)
		d.updateSpeeds(d.State.Now(), row.isMixed, now)
		d.sent.update(d.estimates.Load(), now)
		if !row.want {
			g.Expect(d.sent.speeds).To(gomega.BeEmpty(), "%+v", row)
			g.Expect(d.dumpSpeeds()).To(gomega.BeEmpty())
			continue
		}
		g.Expect(d.sent.speeds).To(gomega.HaveLen(4), "%+v", row)
		g.Expect(d.sent.speeds["s1"] / d.sent.speeds["s0"]).To(gomega.BeNumerically("~", 3, 0.6))
		g.Expect(d.dumpSpeeds()[0].Servers).To(gomega.HaveLen(4))
	}
}

// Guards against a server that is treated as slow long after it has warmed up.
func TestAnswersOfColdServersDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newLearningDuty(config.LearnSpeedsAuto)
	servers := maps.Clone(d.State.Now().Servers.Servers)
	cold := servers["s1"]
	cold.WarmUp = 3 * time.Second
	servers["s1"] = cold
	d.State.MergeServers(view.Servers{Offset: 2, Servers: servers})
	report(d, "r")
	d.updateSpeeds(d.State.Now(), true, clock.Now())
	known := d.estimates.Load().Services["s"].Servers
	g.Expect(known).NotTo(gomega.HaveKey(site.ServerID("s1")))
	g.Expect(known).To(gomega.HaveLen(3))
}

// Guards against reported service times that differ from those of a node that does not report by route: other sites, and
// sites that do not learn speeds, are placed by them.
func TestReportsByRouteCountOnceForEachServer(t *testing.T) {
	g := gomega.NewWithT(t)
	whole, byRoute := newLearningDuty(config.LearnSpeedsOff), newLearningDuty(config.LearnSpeedsOff)
	for _, mean := range []uint64{100_000, 300_000} {
		whole.handleReport(follow.Report{Paces: []*bspb.ServerPace{{Server: "s0", MeanUs: mean}}})
		byRoute.handleReport(follow.Report{Paces: []*bspb.ServerPace{
			{Server: "s0", Route: "a", Count: 3, MeanUs: mean / 2, TotalUs: 1}, {Server: "s0", Route: "b", Count: 1, MeanUs: mean * 5 / 2, TotalUs: 1},
		}})
	}
	g.Expect(byRoute.loads.ServiceTimes()).To(gomega.Equal(whole.loads.ServiceTimes()))
	g.Expect(whole.loads.ServiceTimes()).To(gomega.Equal(map[site.ServerID]int{"s0": 160}))
}

// Guards against a change of the lessor after which nodes serve mixed services as if they were not, or as if all servers were
// alike.
func TestANewLessorKeepsTheGuidanceInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newLearningDuty(config.LearnSpeedsAuto)
	held := guidance.Guidance{Mixed: []site.ServiceName{"s"}, Speeds: map[site.ServerID]float64{"s1": 2}, Work: map[string]float64{"r": 0.1}}
	d.State.MergeGuidance(view.Guidance{Offset: 1, Serial: 1, Guidance: held})
	to := []site.Target{{Service: "s", Weight: 1}}
	config := &site.Config{Services: map[site.ServiceName]site.Service{"s": {Name: "s"}}, Routes: []site.Route{{Name: "r", Targets: to}, {Name: "q", Priority: 1, Targets: to}}}
	now := clock.Now()
	d.beginSpeeds(now)
	v := *d.State.Now()
	v.Config = config
	g.Expect(d.decideGuidance(&v, now).DiffersFrom(held)).To(gomega.BeFalse())
	early := d.decideGuidance(&v, now.Add(startGrace-time.Second))
	g.Expect(early.Speeds).To(gomega.Equal(held.Speeds), "reports are due")
	g.Expect(early.Work).To(gomega.Equal(held.Work))
	g.Expect(d.decideGuidance(&v, now.Add(startGrace+guidanceResendInterval)).Speeds).To(gomega.BeEmpty(), "no server has been reported")
}

// Guards against guidance that is sent whenever an estimate varies by chance, and against a change that waits.
func TestSentSpeedsChangeRarely(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	estimates := func(relative, deviation float64) *speed.Estimates {
		of := speed.Service{Answers: minUsableAnswers, Servers: map[site.ServerID]speed.Estimate{"a": {Relative: relative, Deviation: deviation, Answers: 50}}}
		return &speed.Estimates{Services: map[site.ServiceName]speed.Service{"s": of}}
	}
	var s sentSpeeds
	s.update(estimates(1.2, 0.3), now)
	g.Expect(s.speeds).To(gomega.BeEmpty(), "not reliable")
	for _, row := range []struct {
		relative float64
		after    time.Duration
		want     float64
	}{{1.2, 2 * time.Second, 1.2}, {1.3, 4 * time.Second, 1.2}, {1.4, 4 * time.Second, 1.4}, {1.8, 4500 * time.Millisecond, 1.4}, {3, 5 * time.Second, 3}, {1.04, 10 * time.Second, 1.04}, {1.01, 20 * time.Second, 0}} {
		s.update(estimates(row.relative, 0.1), now.Add(row.after))
		g.Expect(s.speeds["a"]).To(gomega.Equal(row.want), "%+v", row)
	}
}

// Guards against limits that nodes are not sent, that stay during a trial, and that a new lessor drops before it has reports.
func TestLimitsOfServersAreSent(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	estimates := func(e speed.Estimate) *speed.Estimates {
		of := speed.Service{Answers: minUsableAnswers, Servers: map[site.ServerID]speed.Estimate{"a": e}}
		return &speed.Estimates{Services: map[site.ServiceName]speed.Service{"s": of}}
	}
	s := sentSpeeds{concurrency: map[site.ServerID]int{"a": 3, "b": 3}, startedAt: now}
	s.update(estimates(speed.Estimate{Concurrency: 2}), now)
	g.Expect(s.concurrency).To(gomega.Equal(map[site.ServerID]int{"a": 2, "b": 3}))
	s.update(estimates(speed.Estimate{}), now.Add(time.Second))
	g.Expect(s.concurrency).To(gomega.HaveKey(site.ServerID("a")), "sent at most every 2 s")
	s.update(estimates(speed.Estimate{Concurrency: 2, IsTrial: true}), now.Add(startGrace+time.Second))
	g.Expect(s.concurrency).To(gomega.BeEmpty())
	s.update(nil, now)
	g.Expect(s.concurrency).To(gomega.BeEmpty())
}
