package duty

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// speedsLogInterval is the least time between two log lines on the estimates.
	speedsLogInterval = 5 * time.Second
	// startGrace is how long a new lessor goes on to send the speeds of servers of which it has no reports yet.
	startGrace = 10 * time.Second
)

// beginSpeeds begins to estimate speeds, with the guidance of the previous lessor, which stays in force until this one has
// reports of its own.
func (d *Duty) beginSpeeds(now time.Time) {
	d.speeds, d.learning, d.sent = speed.New(), false, sentSpeeds{}
	d.estimates.Store(nil)
	held := d.State.Now().Guidance
	age := time.Since(held.ReceivedAt)
	if held.ReceivedAt.IsZero() || age > guidance.Validity {
		return
	}
	d.mix.Start(held.Mixed, now)
	d.speeds.Start(held.Speeds, held.Work, now.Add(-age))
	d.speeds.StartLimits(held.Concurrency)
	d.sent = sentSpeeds{speeds: held.Speeds, work: held.Work, concurrency: held.Concurrency, at: now, startedAt: now}
}

func (d *Duty) endSpeeds() {
	d.estimates.Store(nil)
	d.learning = false
	setSpeedMetrics(nil)
}

// learnsSpeeds reports whether speeds are learned and used.
func (d *Duty) learnsSpeeds(isMixed bool) bool {
	if d.LearnSpeeds == nil {
		return isMixed
	}
	switch d.LearnSpeeds() {
	case config.LearnSpeedsOn:
		return true
	case config.LearnSpeedsOff:
		return false
	}
	return isMixed
}

// handlePaces processes what a node reports of the answers of servers.
func (d *Duty) handlePaces(paces []*bspb.ServerPace, now time.Time) {
	var v *view.View
	times := map[site.ServerID]meanTime{}
	for _, p := range paces {
		id := site.ServerID(p.Server)
		times[id] = times[id].with(p)
		d.loads.ReportOccupancy(id, int(p.Answers), int(p.Present))
		if !d.learning && (p.Route == "" || !d.learnsSpeeds(true)) {
			continue
		}
		if v == nil {
			v = d.State.Now()
		}
		// A cold server is slow for a while. Its answers would make it look slow for much longer: its speed was estimated at
		// 2.4 times the true service time after 3 s at three times that, and still at 1.5 times 9 s later.
		if server, isRegistered := v.Servers.Servers[id]; isRegistered && !server.IsCold() {
			d.speeds.Add(server.Service, speedReport(p), now)
		}
	}
	for id, of := range times {
		d.loads.ReportServiceTime(id, of.total/time.Duration(of.answers))
	}
}

// meanTime sums the service times of a server's answers over the routes.
type meanTime struct {
	total   time.Duration
	answers int64
}

func (m meanTime) with(p *bspb.ServerPace) meanTime {
	answers := max(int64(p.Count), 1) // reports without a route have no count
	m.total += time.Duration(p.MeanUs) * time.Microsecond * time.Duration(answers)
	m.answers += answers
	return m
}

// speedReport returns a report as the estimator takes it. A report without a route has no sum of times, and its mean does
// not contain the wait in the queue.
func speedReport(p *bspb.ServerPace) speed.Report {
	if p.Route == "" {
		count := max(int(p.Answers), 1)
		return speed.Report{Server: site.ServerID(p.Server), Count: count, Time: time.Duration(p.MeanUs) * time.Microsecond * time.Duration(count)}
	}
	return speed.Report{
		Server: site.ServerID(p.Server), Route: p.Route, Count: int(p.Count), Time: time.Duration(p.TotalUs) * time.Microsecond, HasWait: true,
		Loads: int(p.Answers), Busy: int(p.Busy), Queued: int(p.Queued), Left: counts(p.Left),
	}
}

// counts returns reported counts as the estimator takes them.
func counts(reported []uint32) []int {
	counted := make([]int, len(reported))
	for i, count := range reported {
		counted[i] = int(count)
	}
	return counted
}

// updateSpeeds updates the estimates, by which keys are placed from then on.
func (d *Duty) updateSpeeds(v *view.View, isMixed bool, now time.Time) {
	d.learning = d.learnsSpeeds(isMixed)
	if !d.learning {
		d.estimates.Store(nil)
		d.loads.UseSpeeds(speed.Estimates{})
		setSpeedMetrics(nil)
		return
	}
	estimates := d.speeds.Update(v.Registered(), now)
	d.estimates.Store(&estimates)
	d.loads.UseSpeeds(usable(estimates))
	setSpeedMetrics(&estimates)
	d.logSpeeds(&estimates, now)
}

// usable returns the estimates of the services whose answers tell the work of a request. The first answers after the start
// of a lessor do not.
func usable(estimates speed.Estimates) speed.Estimates {
	services := map[site.ServiceName]speed.Service{}
	for name, service := range estimates.Services {
		if service.Answers >= minUsableAnswers {
			services[name] = service
		}
	}
	return speed.Estimates{Services: services, Work: estimates.Work}
}

// logMove logs a move, with the learned speeds that it rests on.
func (d *Duty) logMove(move ranges.Move) {
	fields := []any{"service", move.Service, "server", move.From, "to", move.To, "from", int(move.Span.From), "keys", move.Span.Keys(), "rate", move.Rate, "used", move.Used, "usedTo", move.UsedTo}
	if from, to := move.FromSpeed, move.ToSpeed; from != nil && to != nil {
		fields = append(fields, "relative", from.Relative, "deviation", from.Deviation, "age", from.Age, "relativeTo", to.Relative, "deviationTo", to.Deviation, "ageTo", to.Age)
	}
	eventMove.Log(d.Logger, fields...)
}

// logSpeeds logs what placement uses, with its basis.
func (d *Duty) logSpeeds(estimates *speed.Estimates, now time.Time) {
	if now.Before(d.nextSpeedsLog) {
		return
	}
	d.nextSpeedsLog = now.Add(speedsLogInterval)
	for name, service := range estimates.Services {
		s := summarize(service)
		eventSpeeds.Log(d.Logger, "service", name, "servers", len(service.Servers), "reliable", s.reliable, "changed", s.changed,
			"limited", s.limited, "trials", s.trials, "fastest", s.fastest, "slowest", s.slowest, "deviation", s.deviation, "workMs", service.Work*1000, "answers", int(service.Answers), "oldest", s.oldest)
	}
}

type speedSummary struct {
	reliable, changed           int
	limited, trials             int     // servers with a sustainable concurrency below their slots, and those of them whose limit is lifted
	fastest, slowest, deviation float64 // deviation: median
	oldest                      time.Duration
}

func summarize(service speed.Service) speedSummary {
	var s speedSummary
	var deviations []float64
	for _, e := range service.Servers {
		if isReliable(e) {
			s.reliable++
		}
		if e.IsShortTerm {
			s.changed++
		}
		if e.Concurrency > 0 {
			s.limited++
		}
		if e.IsTrial {
			s.trials++
		}
		if s.fastest == 0 || e.Relative < s.fastest {
			s.fastest = e.Relative
		}
		s.slowest = max(s.slowest, e.Relative)
		s.oldest = max(s.oldest, e.Age)
		deviations = append(deviations, e.Deviation)
	}
	slices.Sort(deviations)
	if len(deviations) > 0 {
		s.deviation = deviations[len(deviations)/2]
	}
	return s
}

// setSpeedMetrics exports the estimates; nil: there are none.
func setSpeedMetrics(estimates *speed.Estimates) {
	var total speedSummary
	servers := 0
	if estimates != nil {
		for _, service := range estimates.Services {
			s := summarize(service)
			servers += len(service.Servers)
			total.reliable += s.reliable
			total.changed += s.changed
			total.limited += s.limited
			total.slowest = max(total.slowest, s.slowest)
		}
	}
	learnedGauge.Set(int64(servers))
	reliableGauge.Set(int64(total.reliable))
	changedGauge.Set(int64(total.changed))
	limitedGauge.Set(int64(total.limited))
	slowestGauge.Set(int64(total.slowest * 1000))
}

// serviceDump holds the estimates of a service, for the state dump.
type serviceDump struct {
	Service site.ServiceName `json:"service"`
	WorkMs  float64          `json:"workMs"`
	Answers float64          `json:"answers"`
	Servers []serverDump     `json:"servers"`
}

type serverDump struct {
	Server      site.ServerID `json:"server"`
	Relative    float64       `json:"relativeServiceTime"`
	Deviation   float64       `json:"deviation"`
	Answers     float64       `json:"answers"`
	AgeMs       int64         `json:"ageMs"`
	Utilization float64       `json:"utilization"`
	IsShortTerm bool          `json:"shortTerm"`
	IsReliable  bool          `json:"reliable"`
	Concurrency int           `json:"concurrency,omitempty"` // if it is below the slots
	IsTrial     bool          `json:"trial,omitempty"`
}

// dumpSpeeds returns the estimates and what each is based on. It may be called from any goroutine.
func (d *Duty) dumpSpeeds() []serviceDump {
	estimates := d.estimates.Load()
	if estimates == nil {
		return nil
	}
	var services []serviceDump
	for name, service := range estimates.Services {
		dump := serviceDump{Service: name, WorkMs: service.Work * 1000, Answers: math.Round(service.Answers)}
		for id, e := range service.Servers {
			dump.Servers = append(dump.Servers, serverDump{id, e.Relative, e.Deviation, math.Round(e.Answers), e.Age.Milliseconds(), e.Utilization, e.IsShortTerm, isReliable(e), e.Concurrency, e.IsTrial})
		}
		slices.SortFunc(dump.Servers, func(a, b serverDump) int { return cmp.Compare(a.Server, b.Server) })
		services = append(services, dump)
	}
	slices.SortFunc(services, func(a, b serviceDump) int { return cmp.Compare(a.Service, b.Service) })
	return services
}
