package ranges

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Half-lives of the averages of the request counts.
const (
	// longTermHalfLife is that of the load by which ranges are usually balanced. With a
	// shorter half-life, ranges move because of random variation.
	longTermHalfLife = 3 * time.Second
	// shortTermHalfLife is that of the load that detects a surge. Keys become busy suddenly
	// and stay busy for about five seconds.
	shortTermHalfLife = 400 * time.Millisecond
	// decayInterval is the minimum time between two decays of the counts.
	decayInterval = 100 * time.Millisecond
)

// surgeDeviations is the number of standard deviations by which the short-term load must
// exceed the long-term load to be treated as a surge. By chance, one of 300 servers exceeds
// it in ten minutes.
const surgeDeviations = 4

// deviation returns the standard deviation of a decayed rate that follows from the random
// variation of the counts.
func deviation(rate float64, halfLife time.Duration) float64 {
	return math.Sqrt(rate * math.Ln2 / (2 * halfLife.Seconds()))
}

// serviceLoad is the load of one service.
type serviceLoad struct{ longTerm, shortTerm keyRates }

// Loads holds the load of each key and the service time of each server, as reported by the
// nodes.
type Loads struct {
	services     map[site.ServiceName]*serviceLoad
	serviceTimes map[site.ServerID]float64      // seconds per request
	occupancies  map[site.ServerID]occupancySum // since the latest call of Demands
	since        time.Time                      // of the first decay
	last         time.Time                      // of the latest decay
	shedAt       map[site.ServiceName]time.Time // of the latest round of balancing
	evenedAt     map[site.ServiceName]time.Time // of the latest round that evened out loads
	learned      learned                        // replaces serviceTimes for the services that it contains
}

// NewLoads returns loads without any reports.
func NewLoads() *Loads {
	return &Loads{
		services:     map[site.ServiceName]*serviceLoad{},
		serviceTimes: map[site.ServerID]float64{},
		occupancies:  map[site.ServerID]occupancySum{},
		shedAt:       map[site.ServiceName]time.Time{},
		evenedAt:     map[site.ServiceName]time.Time{},
		learned:      newLearned(),
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
	// A constant rate r converges to r x halfLife / ln 2 in the decayed sum.
	load.longTerm.add(key, float32(requests)*float32(math.Ln2/longTermHalfLife.Seconds()))
	load.shortTerm.add(key, float32(requests)*float32(math.Ln2/shortTermHalfLife.Seconds()))
}

// occupancySum sums the requests that a server had at the times of its responses.
type occupancySum struct{ answers, requests int }

// ReportOccupancy reports the number of requests that a server had, running or queued, summed over
// a number of its responses.
func (l *Loads) ReportOccupancy(server site.ServerID, answers, requests int) {
	p := l.occupancies[server]
	p.answers += answers
	p.requests += requests
	l.occupancies[server] = p
}

// serviceTimeWeight is the weight of a new report in the service time of a server.
const serviceTimeWeight = 0.3

// ReportServiceTime reports the mean service time of requests at a server.
func (l *Loads) ReportServiceTime(server site.ServerID, mean time.Duration) {
	if before, known := l.serviceTimes[server]; known {
		l.serviceTimes[server] = before + serviceTimeWeight*(mean.Seconds()-before)
		return
	}
	l.serviceTimes[server] = mean.Seconds()
}

// ForgetIncarnation drops the service time of the earlier incarnation of a server.
func (l *Loads) ForgetIncarnation(r Restart) {
	delete(l.serviceTimes, r.From)
	delete(l.learned.sourceAt, r.From)
	delete(l.learned.targetAt, r.From)
}

// Decay reduces the counts for the time since the latest decay.
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

// isSurge reports whether a range has just become so busy that its short-term load applies.
func (l *Loads) isSurge(service site.ServiceName, span Span) bool {
	load := l.services[service]
	if load == nil {
		return false
	}
	shortTerm := load.shortTerm.sum(span)
	noise := deviation(max(shortTerm, 1), shortTermHalfLife)
	return shortTerm > load.longTerm.sum(span)*l.correction()+surgeDeviations*noise
}

// rate returns the long-term requests a second for a range.
func (l *Loads) rate(service site.ServiceName, span Span) float64 {
	if l.services[service] == nil {
		return 0
	}
	rates, factor := l.longTermRates(service)
	return rates.sum(span) * factor
}

// longTermRates returns the long-term load of each key of a service that has a load, and
// the factor that converts it to requests a second.
func (l *Loads) longTermRates(service site.ServiceName) (rates *keyRates, factor float64) {
	return &l.services[service].longTerm, l.correction()
}

// shortTermRates returns the same of the short-term load, for keys that became busy busyFor
// ago. The factor compensates for the part of the rate that the load does not include yet.
func (l *Loads) shortTermRates(service site.ServiceName, busyFor time.Duration) (rates *keyRates, factor float64) {
	seen := 1 - math.Exp2(-(busyFor+minSurgeAge).Seconds()/shortTermHalfLife.Seconds())
	return &l.services[service].shortTerm, 1 / seen
}

// minSurgeAge is the minimum time for which keys have been busy when a round detects a
// surge.
const minSurgeAge = 150 * time.Millisecond

// rateDeviation returns the standard deviation of a long-term rate. It is large while few
// counts have been collected.
func (l *Loads) rateDeviation(rate float64) float64 {
	return math.Sqrt(l.correction()) * deviation(rate, longTermHalfLife)
}

// counted returns the number of counted requests that a rate corresponds to.
func (l *Loads) counted(rate float64, shortTerm bool) float64 {
	if shortTerm {
		return rate * shortTermHalfLife.Seconds() / math.Ln2
	}
	return rate / l.correction() * longTermHalfLife.Seconds() / math.Ln2
}

// correction returns the factor that compensates for counts that have been collected for
// less than a few half-lives.
func (l *Loads) correction() float64 {
	collected := 1 - math.Exp2(-l.last.Sub(l.since).Seconds()/longTermHalfLife.Seconds())
	return 1 / max(collected, minCollected)
}

// minCollected limits the correction.
const minCollected = 0.2

// defaultServiceTime is used until a server has answered, in seconds.
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

// ServiceTimes returns the service time of each server in milliseconds, for the log.
func (l *Loads) ServiceTimes() map[site.ServerID]int {
	serviceTimes := make(map[site.ServerID]int, len(l.serviceTimes))
	for id, serviceTime := range l.serviceTimes {
		serviceTimes[id] = int(serviceTime * 1000)
	}
	return serviceTimes
}
