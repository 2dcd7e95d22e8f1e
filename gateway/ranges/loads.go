package ranges

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Loads is the load of each key and the pace of each server, as nodes report
// them.
type Loads struct {
	keys  map[site.ServiceName]*[int(LastKey) + 1]float32 // requests a second, decayed
	paces map[site.ServerID]float64                       // seconds a request takes
	// recent holds the keys counted lately with a short memory, requests a second:
	// one that becomes busy shows at once.
	recent map[site.ServiceName]map[Key]float64
	since  time.Time // of the first decay
	last   time.Time // of the latest decay
	round  time.Time // of the latest round of balance
}

// NewLoads returns loads without any report.
func NewLoads() *Loads {
	return &Loads{
		keys:   map[site.ServiceName]*[int(LastKey) + 1]float32{},
		paces:  map[site.ServerID]float64{},
		recent: map[site.ServiceName]map[Key]float64{},
	}
}

// Count adds requests for a key.
func (l *Loads) Count(service site.ServiceName, key Key, requests int) {
	keys := l.keys[service]
	if keys == nil {
		keys = new([int(LastKey) + 1]float32)
		l.keys[service] = keys
	}
	if key >= 0 && key <= LastKey {
		if l.recent[service] == nil {
			l.recent[service] = map[Key]float64{}
		}
		l.recent[service][key] += float64(requests) * math.Ln2 / recentHalfLife.Seconds()
		// A steady rate r gives r x halfLife / ln 2 in the decayed sum.
		keys[key] += float32(requests) * float32(math.Ln2/loadHalfLife.Seconds())
	}
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

// decayEvery is how often the counts lose weight.
const decayEvery = 250 * time.Millisecond

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
	fall := math.Exp2(-passed.Seconds() / recentHalfLife.Seconds())
	for _, recent := range l.recent {
		for key, rate := range recent {
			if recent[key] = rate * fall; recent[key] < leastRecent {
				delete(recent, key)
			}
		}
	}
	factor := float32(math.Exp2(-passed.Seconds() / loadHalfLife.Seconds()))
	for _, keys := range l.keys {
		for i := range keys {
			keys[i] *= factor
		}
	}
}

func (l *Loads) sum(service site.ServiceName, span Span) float64 {
	keys := l.keys[service]
	if keys == nil {
		return 0
	}
	var sum float32
	for _, weight := range keys[span.From : span.To+1] {
		sum += weight
	}
	return float64(sum) * l.correction()
}

// correction makes up for counts that have been collected for less than a few
// half-lives.
func (l *Loads) correction() float64 {
	collected := 1 - math.Exp2(-l.last.Sub(l.since).Seconds()/loadHalfLife.Seconds())
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
