package ranges

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Memories of the counts, as half-lives.
const (
	// steadyHalfLife is that of the load by which ranges are usually balanced: with a
	// shorter one, ranges move for what is chance.
	steadyHalfLife = 3 * time.Second
	// quickHalfLife is that of the load which shows a surge: keys become busy within
	// an instant, and are for five seconds.
	quickHalfLife = 400 * time.Millisecond
	// decayEvery is how often the counts lose weight.
	decayEvery = 100 * time.Millisecond
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
type serviceLoad struct{ steady, quick keyRates }

// Loads is the load of each key and the pace of each server, as nodes report
// them.
type Loads struct {
	services map[site.ServiceName]*serviceLoad
	paces    map[site.ServerID]float64      // seconds a request takes
	presents map[site.ServerID]present      // since the latest Demands
	since    time.Time                      // of the first decay
	last     time.Time                      // of the latest decay
	shedAt   map[site.ServiceName]time.Time // of the latest round of balance
	evenAt   map[site.ServiceName]time.Time // of the latest one that evened loads out
}

// NewLoads returns loads without any report.
func NewLoads() *Loads {
	return &Loads{
		services: map[site.ServiceName]*serviceLoad{},
		paces:    map[site.ServerID]float64{},
		presents: map[site.ServerID]present{},
		shedAt:   map[site.ServiceName]time.Time{},
		evenAt:   map[site.ServiceName]time.Time{},
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
	load.steady[key] += float32(requests) * float32(math.Ln2/steadyHalfLife.Seconds())
	load.quick[key] += float32(requests) * float32(math.Ln2/quickHalfLife.Seconds())
}

// present sums up what a server had at its answers.
type present struct{ answers, requests int }

// Present reports how many requests a server had, running or waiting, added up over a
// number of its answers.
func (l *Loads) Present(server site.ServerID, answers, requests int) {
	p := l.presents[server]
	p.answers += answers
	p.requests += requests
	l.presents[server] = p
}

// paceWeight is the weight of a new report in a server's pace.
const paceWeight = 0.3

// Pace reports the mean time that requests took at a server.
func (l *Loads) Pace(server site.ServerID, mean time.Duration) {
	if before, known := l.paces[server]; known {
		l.paces[server] = before + paceWeight*(mean.Seconds()-before)
		return
	}
	l.paces[server] = mean.Seconds()
}

// Restarted forgets what was learnt of an earlier run of a server.
func (l *Loads) Restarted(r Restart) { delete(l.paces, r.From) }

// Decay lowers the counts by the time passed.
func (l *Loads) Decay(now time.Time) {
	if l.last.IsZero() {
		l.since = now
		l.last = now
	}
	passed := now.Sub(l.last)
	if passed < decayEvery {
		return
	}
	l.last = now
	for _, load := range l.services {
		load.steady.decay(passed, steadyHalfLife)
		load.quick.decay(passed, quickHalfLife)
	}
}

// isSurge reports whether a range has become so busy just now that the quick load counts.
func (l *Loads) isSurge(service site.ServiceName, span Span) bool {
	load := l.services[service]
	if load == nil {
		return false
	}
	quick := load.quick.sum(span)
	chance := deviation(max(quick, 1), quickHalfLife)
	return quick > load.steady.sum(span)*l.correction()+surgeDeviations*chance
}

// rate returns the requests a second for a range by the steady load.
func (l *Loads) rate(service site.ServiceName, span Span) float64 {
	if l.services[service] == nil {
		return 0
	}
	rates, factor := l.steady(service)
	return rates.sum(span) * factor
}

// steady returns the steady load of each key of a service that has one, and the factor
// that makes requests a second of it.
func (l *Loads) steady(service site.ServiceName) (rates *keyRates, factor float64) {
	return &l.services[service].steady, l.correction()
}

// quick returns the same by the quick load, for keys that became busy a while ago. The
// load has then seen only a part of what it will settle at.
func (l *Loads) quick(service site.ServiceName, since time.Duration) (rates *keyRates, factor float64) {
	seen := 1 - math.Exp2(-(since+surgeSeen).Seconds()/quickHalfLife.Seconds())
	return &l.services[service].quick, 1 / seen
}

// surgeSeen is for how long keys have been busy, at the least, when a round notices.
const surgeSeen = 150 * time.Millisecond

// chance returns the standard deviation of a rate by the steady load. It is large while
// few counts have been collected.
func (l *Loads) chance(rate float64) float64 {
	return math.Sqrt(l.correction()) * deviation(rate, steadyHalfLife)
}

// counted returns how many requests for a key a rate stands for.
func (l *Loads) counted(rate float64, quick bool) float64 {
	if quick {
		return rate * quickHalfLife.Seconds() / math.Ln2
	}
	return rate / l.correction() * steadyHalfLife.Seconds() / math.Ln2
}

// correction makes up for counts that have been collected for less than a few
// half-lives.
func (l *Loads) correction() float64 {
	collected := 1 - math.Exp2(-l.last.Sub(l.since).Seconds()/steadyHalfLife.Seconds())
	return 1 / max(collected, leastCollected)
}

// leastCollected bounds the correction.
const leastCollected = 0.2

// defaultPace is used until a server has answered.
const defaultPace = 0.2

func (l *Loads) typicalPace(servers []site.Server) float64 {
	var paces []float64
	for _, server := range servers {
		if pace, known := l.paces[server.ID]; known {
			paces = append(paces, pace)
		}
	}
	if len(paces) == 0 {
		return defaultPace
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// Paces returns the pace of each server in milliseconds, for the log.
func (l *Loads) Paces() map[site.ServerID]int {
	paces := make(map[site.ServerID]int, len(l.paces))
	for id, pace := range l.paces {
		paces[id] = int(pace * 1000)
	}
	return paces
}
