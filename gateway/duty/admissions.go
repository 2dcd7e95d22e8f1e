package duty

import (
	"maps"
	"math"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/urgency"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// minLoggedChange is the change of a share that is logged. Shares vary by chance by less while the load is steady.
const minLoggedChange = 0.1

// admissions decides the admissions of mixed services by the reports of nodes.
type admissions struct {
	meter      *urgency.Meter
	controller *urgency.Controller
	logged     map[site.ServiceName]guidance.Admission
	// latest holds the decisions for the state dump.
	latest atomic.Pointer[[]urgency.Decision]
	// priorities holds the priorities of routes by name, as of a configuration.
	priorities map[string]int
	config     *site.Config
}

// reset begins the duty of a lessor, which goes on with the admissions that its node has received.
func (a *admissions) reset(seed view.Guidance) {
	a.meter = urgency.NewMeter()
	a.controller = urgency.New(seed.Admissions, seed.ReceivedAt)
	a.logged = map[site.ServiceName]guidance.Admission{}
	a.latest.Store(nil)
}

// priorityOf returns the priority of a route of the configuration.
func (a *admissions) priorityOf(config *site.Config, route string) (priority int, known bool) {
	if config == nil {
		return 0, false
	}
	if config != a.config {
		a.config = config
		a.priorities = make(map[string]int, len(config.Routes))
		for i := range config.Routes {
			a.priorities[config.Routes[i].Name] = config.Routes[i].Priority
		}
	}
	priority, known = a.priorities[route]
	return priority, known
}

// measure adds a report of a node. Answers without a route are of a node of the previous release.
func (a *admissions) measure(v *view.View, report follow.Report, now time.Time) {
	for _, c := range report.Classes {
		a.meter.Count(site.ServiceName(c.Service), int(c.Priority), int(c.Requests), int(c.Returned), now)
	}
	for _, p := range report.Paces {
		server, isRegistered := v.Registered()[site.ServerID(p.Server)]
		priority, isKnown := a.priorityOf(v.Config, p.Route)
		if !isRegistered || p.Route != "" && !isKnown {
			continue
		}
		answers := urgency.Answers{Count: int(max(p.Count, 1)), WithLoad: int(p.Answers), Queued: int(p.Queued), WasServed: p.Route != ""}
		answers.Total = time.Duration(p.TotalUs) * time.Microsecond
		if !answers.WasServed {
			answers.Count, answers.WithLoad = int(p.Answers), 0
		}
		a.meter.Answer(server.Service, server.ID, priority, answers, now)
	}
}

// decideAdmissions returns the shares of the priorities of mixed services, and logs those that have changed.
func (d *Duty) decideAdmissions(v *view.View, mixed []site.ServiceName, now time.Time) map[site.ServiceName]guidance.Admission {
	a := &d.admissions
	a.controller.Forget(mixed)
	a.meter.Forget(mixed)
	decisions := make([]urgency.Decision, 0, len(mixed))
	admitted := map[site.ServiceName]guidance.Admission{}
	for _, name := range mixed {
		servers := v.ServersOf(name)
		usable := a.meter.Usable(name, servers, now)
		decision := a.controller.Update(name, a.meter.Demands(name, now), a.meter.Load(name, now), a.meter, now)
		decisions = append(decisions, decision)
		if len(decision.Admission) > 0 {
			admitted[name] = decision.Admission
		}
		if hasChanged(decision.Admission, a.logged[name]) {
			a.logged[name] = maps.Clone(decision.Admission)
			eventAdmission.Log(d.Logger, "service", name, "shares", decision.Admission, "demand", decision.Demand, "capacity", decision.Capacity, "correction", decision.Correction,
				"queued", decision.Load.Queued, "busy", decision.Load.Busy, "usable", usable, "servers", len(servers), "reportedAgo", decision.Load.Age)
		}
	}
	a.latest.Store(&decisions)
	return admitted
}

// hasChanged reports whether shares differ from those that were logged, or are not known to be whole any more.
func hasChanged(shares, logged guidance.Admission) bool {
	if (len(shares) == 0) != (len(logged) == 0) {
		return true
	}
	for priority, share := range shares {
		before, exists := logged[priority]
		if !exists || math.Abs(share-before) >= minLoggedChange {
			return true
		}
	}
	return false
}

// dump returns the latest decisions of a lessor for the state dump.
func (a *admissions) dump(isLessor bool) []urgency.Decision {
	if decisions := a.latest.Load(); isLessor && decisions != nil {
		return *decisions
	}
	return nil
}

// measureReport adds a report to the measurements of mixed services.
func (d *Duty) measureReport(report follow.Report) {
	d.admissions.measure(d.State.Now(), report, clock.Now())
}
