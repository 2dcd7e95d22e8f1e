package replay

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/urgency"
)

// reportInterval is the time between two reports that the lessor receives: nodes do not report at the same time.
const reportInterval = 100 * time.Millisecond

// admissions decides the admitted shares by the reports of all nodes, as the lessor does.
type admissions struct {
	meter      *urgency.Meter
	controller *urgency.Controller
	counts     map[int]*priorityCounts // by priority
	answers    map[answersOf]*urgency.Answers
}

type priorityCounts struct{ requests, returned int }

type answersOf struct {
	server   int
	priority int
}

// startAdmissions schedules the reports of nodes and the decisions of the lessor.
func (r *replay) startAdmissions() {
	r.admissions = admissions{
		meter:      urgency.NewMeter(),
		controller: urgency.New(nil, time.Time{}),
		counts:     map[int]*priorityCounts{},
		answers:    map[answersOf]*urgency.Answers{},
	}
	r.schedule(reportInterval, r.reportDemand)
	r.schedule(urgency.UpdateInterval, r.sendAdmissions)
}

// noteCaller counts a request for the report of its node.
func (r *replay) noteCaller(c caller) {
	if r.admissions.meter == nil {
		return
	}
	count := r.admissions.counts[c.priority]
	if count == nil {
		count = &priorityCounts{}
		r.admissions.counts[c.priority] = count
	}
	count.requests++
	if r.now.After(c.arrived.Add(immediateRetryDelay * immediateRetryFactor)) { // nodes infer it from the time left
		count.returned++
	}
}

// noteAnswer adds an answer for the report of its node.
func (r *replay) noteAnswer(ended *request, load site.Load) {
	if r.admissions.meter == nil {
		return
	}
	of := answersOf{ended.server, ended.priority}
	a := r.admissions.answers[of]
	if a == nil {
		a = &urgency.Answers{WasServed: true}
		r.admissions.answers[of] = a
	}
	a.Count++
	a.WithLoad++
	a.Total += r.now.Sub(ended.sent)
	a.Queued += max(load.Total()-1-load.Slots, 0)
}

// reportDemand has the lessor receive the reports of some of the nodes, while requests arrive.
func (r *replay) reportDemand() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	a := &r.admissions
	for _, route := range r.Routes { // always in the same order
		if count := a.counts[route.Priority]; count != nil {
			a.meter.Count(Service, route.Priority, count.requests, count.returned, r.now)
		}
		for i := range r.servers {
			if answers := a.answers[answersOf{i, route.Priority}]; answers != nil {
				a.meter.Answer(Service, r.currentID(i), route.Priority, *answers, r.now)
			}
		}
		delete(a.counts, route.Priority) // another route may have the same
		for i := range r.servers {
			delete(a.answers, answersOf{i, route.Priority})
		}
	}
	r.schedule(reportInterval, r.reportDemand)
}

// sendAdmissions has the lessor decide and send the shares while requests arrive.
func (r *replay) sendAdmissions() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	a := &r.admissions
	a.meter.Usable(Service, r.registered, r.now)
	decision := a.controller.Update(Service, a.meter.Demands(Service, r.now), a.meter.Load(Service, r.now), a.meter, r.now)
	if r.Trace != nil {
		r.Trace(fmt.Sprintf("%v %+v", r.now.Sub(r.start), decision))
	}
	g := guidance.Guidance{Mixed: []site.ServiceName{Service}}
	if len(decision.Admission) > 0 && r.Policy != NoAdmission {
		g.Admissions = map[site.ServiceName]guidance.Admission{Service: decision.Admission}
	}
	r.schedule(shareDelay, func() { r.setGuidance(g) })
	r.schedule(urgency.UpdateInterval, r.sendAdmissions)
}
