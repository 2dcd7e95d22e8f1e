package ranges

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Memories of the counts, as half-lives.
const (
	// longTermHalfLife is that of the load by which ranges are usually balanced: with a
	// shorter one, ranges move for what is chance.
	longTermHalfLife = 3 * time.Second
	// shortTermHalfLife is that of the load which shows a surge: keys become busy within
	// an instant, and are for five seconds.
	shortTermHalfLife = 400 * time.Millisecond
	// decayInterval is how often the counts lose weight.
	decayInterval = 100 * time.Millisecond
)

// surgeDeviations is by how many standard deviations the quick load must exceed the
// steady one to be believed: by chance one of 300 servers does so in ten minutes.
const surgeDeviations = 4

// deviation returns the standard deviation of a decayed rate, by the chance in the counts.
func deviation(rate float64, halfLife time.Duration) float64 {
	return math.Sqrt(rate * math.Ln2 / (2 * halfLife.Seconds()))
}

// keyRates holds requests a second by key, decayed.
type keyRates [int(LastKey) + 1]float32

func (r *keyRates) sum(span Span) float64 {
	var sum float32
	for _, rate := range r[span.From : span.To+1] {
		sum += rate
	}
	return float64(sum)
}

func (r *keyRates) decay(passed, halfLife time.Duration) {
	factor := float32(math.Exp2(-passed.Seconds() / halfLife.Seconds()))
	for i := range r {
		r[i] *= factor
	}
}

// serviceLoad is the load of one service.
type serviceLoad struct{ longTerm, shortTerm keyRates }

// Loads is the load of each key and the pace of each server, as nodes report
// them.
type Loads struct {
	services     map[site.ServiceName]*serviceLoad
	serviceTimes map[site.ServerID]float64      // seconds a request takes
	occupancies  map[site.ServerID]occupancySum // since the latest Demands
	since        time.Time                      // of the first decay
	last         time.Time                      // of the latest decay
	shedAt       map[site.ServiceName]time.Time // of the latest round of balance
	evenedAt     map[site.ServiceName]time.Time // of the latest one that evened loads out
}

// NewLoads returns loads without any report.
func NewLoads() *Loads {
	return &Loads{
		services:     map[site.ServiceName]*serviceLoad{},
		serviceTimes: map[site.ServerID]float64{},
		occupancies:  map[site.ServerID]occupancySum{},
		shedAt:       map[site.ServiceName]time.Time{},
		evenedAt:     map[site.ServiceName]time.Time{},
	}
}

// Count adds requests for a key.
func (l *Loads) Count(service site.ServiceName, key Key, requests int) {
	if key < 0 || key > LastKey {
		return
	}
	load := l.services[service]
	if load == nil {
		load = new(serviceLoad)
		l.services[service] = load
	}
	// A steady rate r gives r x halfLife / ln 2 in the decayed sum.
	load.longTerm[key] += float32(requests) * float32(math.Ln2/longTermHalfLife.Seconds())
	load.shortTerm[key] += float32(requests) * float32(math.Ln2/shortTermHalfLife.Seconds())
}

// occupancySum sums up what a server had at its answers.
type occupancySum struct{ answers, requests int }

// Present reports how many requests a server had, running or waiting, added up over a
// number of its answers.
func (l *Loads) Present(server site.ServerID, answers, requests int) {
	p := l.occupancies[server]
	p.answers += answers
	p.requests += requests
	l.occupancies[server] = p
}

// serviceTimeWeight is the weight of a new report in a server's pace.
const serviceTimeWeight = 0.3

// Pace reports the mean time that requests took at a server.
func (l *Loads) Pace(server site.ServerID, mean time.Duration) {
	if before, known := l.serviceTimes[server]; known {
		l.serviceTimes[server] = before + serviceTimeWeight*(mean.Seconds()-before)
		return
	}
	l.serviceTimes[server] = mean.Seconds()
}

// ForgetIncarnation forgets what was learnt of an earlier run of a server.
func (l *Loads) ForgetIncarnation(r Restart) { delete(l.serviceTimes, r.From) }

// Decay lowers the counts by the time passed.
func (l *Loads) Decay(now time.Time) {
	if l.last.IsZero() {
		l.since = now
		l.last = now
	}
	passed := now.Sub(l.last)
	if passed < decayInterval {
		return
	}
	l.last = now
	for _, load := range l.services {
		load.longTerm.decay(passed, longTermHalfLife)
		load.shortTerm.decay(passed, shortTermHalfLife)
	}
}

// isSurge reports whether a range has become so busy just now that the quick load counts.
func (l *Loads) isSurge(service site.ServiceName, span Span) bool {
	load := l.services[service]
	if load == nil {
		return false
	}
	shortTerm := load.shortTerm.sum(span)
	noise := deviation(max(shortTerm, 1), shortTermHalfLife)
	return shortTerm > load.longTerm.sum(span)*l.correction()+surgeDeviations*noise
}

// rate returns the requests a second for a range by the steady load.
func (l *Loads) rate(service site.ServiceName, span Span) float64 {
	if l.services[service] == nil {
		return 0
	}
	rates, factor := l.longTermRates(service)
	return rates.sum(span) * factor
}

// longTermRates returns the steady load of each key of a service that has one, and the factor
// that makes requests a second of it.
func (l *Loads) longTermRates(service site.ServiceName) (rates *keyRates, factor float64) {
	return &l.services[service].longTerm, l.correction()
}

// shortTermRates returns the same by the quick load, for keys that became busy a while ago. The
// load has then seen only a part of what it will settle at.
func (l *Loads) shortTermRates(service site.ServiceName, busyFor time.Duration) (rates *keyRates, factor float64) {
	seen := 1 - math.Exp2(-(busyFor+minSurgeAge).Seconds()/shortTermHalfLife.Seconds())
	return &l.services[service].shortTerm, 1 / seen
}

// minSurgeAge is for how long keys have been busy, at the least, when a round notices.
const minSurgeAge = 150 * time.Millisecond

// rateDeviation returns the standard deviation of a rate by the steady load. It is large while
// few counts have been collected.
func (l *Loads) rateDeviation(rate float64) float64 {
	return math.Sqrt(l.correction()) * deviation(rate, longTermHalfLife)
}

// counted returns how many requests for a key a rate stands for.
func (l *Loads) counted(rate float64, shortTerm bool) float64 {
	if shortTerm {
		return rate * shortTermHalfLife.Seconds() / math.Ln2
	}
	return rate / l.correction() * longTermHalfLife.Seconds() / math.Ln2
}

// correction makes up for counts that have been collected for less than a few
// half-lives.
func (l *Loads) correction() float64 {
	collected := 1 - math.Exp2(-l.last.Sub(l.since).Seconds()/longTermHalfLife.Seconds())
	return 1 / max(collected, minCollected)
}

// minCollected bounds the correction.
const minCollected = 0.2

// defaultServiceTime is used until a server has answered.
const defaultServiceTime = 0.2

func (l *Loads) typicalServiceTime(servers []site.Server) float64 {
	var serviceTimes []float64
	for _, server := range servers {
		if serviceTime, known := l.serviceTimes[server.ID]; known {
			serviceTimes = append(serviceTimes, serviceTime)
		}
	}
	if len(serviceTimes) == 0 {
		return defaultServiceTime
	}
	slices.Sort(serviceTimes)
	return serviceTimes[len(serviceTimes)/2]
}

// Paces returns the pace of each server in milliseconds, for the log.
func (l *Loads) Paces() map[site.ServerID]int {
	serviceTimes := make(map[site.ServerID]int, len(l.serviceTimes))
	for id, serviceTime := range l.serviceTimes {
		serviceTimes[id] = int(serviceTime * 1000)
	}
	return serviceTimes
}
