package engine

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockspindle/burdockspindle/state"
)

// tick ends one second and records the load offered during it.
func (m *measure) tick() {
	point := Second{
		At:      m.site.clock.elapsed().Seconds() - setupTime.Seconds(),
		Offered: m.second.offered,
		Good:    m.second.good,
		NotRun:  m.second.notRun,
		Moves:   m.second.moves,
		P99:     milliseconds(m.second.latencies, 99),
	}
	for _, service := range m.services {
		variation, peak, known := m.spread(service)
		clear(service.loads)
		if !known {
			continue
		}
		if m.active() {
			service.variation.add(variation)
			service.peak.add(peak)
		}
		if service.service.Keyed {
			point.CoefficientOfVariation, point.MaxOverMean = variation, peak
		}
	}
	m.timeline = append(m.timeline, point)
	m.second = secondMeasure{latencies: m.second.latencies}
	m.second.latencies.Reset()
}

// spread returns the coefficient of variation and the ratio of maximum to mean of
// the loads offered to a service's live servers in the current second.
func (m *measure) spread(service *serviceMeasure) (variation, peak float64, known bool) {
	var loads []float64
	for _, id := range sortedKeys(m.site.servers) {
		known, exists := m.site.log.view.Server(id)
		if !exists || known.Service != service.service.Name || known.Phase != state.PhaseLive || !m.site.servers[id].up {
			continue
		}
		loads = append(loads, service.loads[id])
	}
	return spreadOf(loads)
}

func spreadOf(loads []float64) (variation, peak float64, known bool) {
	sum, highest := 0.0, 0.0
	for _, load := range loads {
		sum += load
		highest = max(highest, load)
	}
	if sum == 0 {
		return 0, 0, false
	}
	average := sum / float64(len(loads))
	squares := 0.0
	for _, load := range loads {
		squares += (load - average) * (load - average)
	}
	return math.Sqrt(squares/float64(len(loads))) / average, highest / average, true
}

// milliseconds returns a percentile of a histogram; 0 if it is empty.
func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

// figures returns the figures of the run.
func (m *measure) figures() *Figures {
	length := m.site.clock.now.Sub(m.from)
	f := &Figures{
		Policy:                m.site.options.Policy.Name(),
		Seconds:               length.Seconds(),
		MovesPerMinute:        float64(m.moves+m.splits+m.merges) / length.Minutes(),
		ShardsMoved:           m.moves,
		KeysMoved:             m.keysMoved,
		Splits:                m.splits,
		Merges:                m.merges,
		UnavailableKeySeconds: m.site.availability.keyTime.Seconds(),
		LongestUnavailable:    m.site.availability.longest.Seconds() * millisecondsPerSecond,
		CallerRetries:         m.callerRetries,
		Probes:                m.probes,
		Ejections:             m.ejections,
		LogAppends:            m.site.log.appends,
		ReportBytes:           float64(m.reported) / m.site.clock.elapsed().Seconds() / float64(len(m.site.nodeList)),
		Reasons:               m.reasons,
		Timeline:              m.timeline,
	}
	f.UnavailableShare = ratio(f.UnavailableKeySeconds, m.site.availability.total(length))
	f.RetryAmplification = ratio(float64(m.attempts), float64(m.attempted))
	f.RecoverySeconds = m.recovery()
	m.sumServices(f, length)
	m.sumServers(f)
	return f
}

const millisecondsPerSecond = 1000

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func (m *measure) sumServices(f *Figures, length time.Duration) {
	all := newHistogram()
	good, late, sent, work, disturbed, capacity := 0, 0, 0, 0.0, 0.0, 0.0
	for _, s := range m.services {
		all.Merge(s.answered)
		f.Services = append(f.Services, s.figures(length, m.site.options.disturbance()))
		f.Offered += s.offered
		f.NotRun += s.notRun
		f.Unknown += s.unknown
		f.DependencyFailed += s.failed
		good, late, sent = good+s.good, late+s.late, sent+s.sent
		work += s.goodWork
		disturbed += s.disturbed
		capacity += s.service.Capacity()
		if s.service.Keyed {
			f.CoefficientOfVariation = s.variation.value()
			f.MaxOverMean = s.peak.value()
		}
	}
	f.Goodput = float64(good) / length.Seconds()
	f.GoodputShare = ratio(float64(good), float64(f.Offered))
	f.GoodputOfCapacity = ratio(work, capacity*length.Seconds())
	f.DisturbedGoodput = ratio(disturbed, capacity*m.site.options.disturbance().Seconds())
	f.AdmittedLate = ratio(float64(late), float64(sent))
	f.P50, f.P99, f.P999 = milliseconds(all, 50), milliseconds(all, 99), milliseconds(all, 99.9)
}

func (s *serviceMeasure) figures(length, disturbance time.Duration) ServiceFigures {
	return ServiceFigures{
		Service:                string(s.service.Name),
		Keyed:                  s.service.Keyed,
		CoefficientOfVariation: s.variation.value(),
		MaxOverMean:            s.peak.value(),
		Offered:                s.offered,
		GoodputShare:           ratio(float64(s.good), float64(s.offered)),
		GoodputOfCapacity:      ratio(s.goodWork, s.service.Capacity()*length.Seconds()),
		DisturbedGoodput:       ratio(s.disturbed, s.service.Capacity()*disturbance.Seconds()),
		P50:                    milliseconds(s.answered, 50),
		P99:                    milliseconds(s.answered, 99),
		P999:                   milliseconds(s.answered, 99.9),
		AdmittedLate:           ratio(float64(s.late), float64(s.sent)),
		NotRun:                 s.notRun,
		Unknown:                s.unknown,
	}
}

// sumServers adds the counters of the servers.
func (m *measure) sumServers(f *Figures) {
	for _, id := range sortedKeys(m.site.servers) {
		s := m.site.servers[id]
		f.LimitExceeded += s.limitExceeded
		f.ConnectionsPeak = max(f.ConnectionsPeak, float64(s.peakConns)/float64(s.service.Connections))
	}
}

// A second is normal if at most the fraction normalRefused of its requests was refused and
// its p99 is at most normalLatency times the p99 before the disturbance.
const (
	normalRefused = 0.01
	normalLatency = 2
)

// recovery returns the time from the end of the disturbance to the last second
// that was not normal, in seconds.
func (m *measure) recovery() float64 {
	from, until := m.site.options.DisturbedFrom.Seconds(), m.site.options.DisturbedUntil.Seconds()
	if until == 0 {
		return -1
	}
	usual := mean{}
	for _, second := range m.timeline {
		if second.At > m.site.options.Warmup.Seconds() && second.At <= from {
			usual.add(second.P99)
		}
	}
	last := 0.0
	for i, second := range m.timeline {
		if second.At <= until {
			continue
		}
		refused := ratio(float64(second.NotRun), float64(second.Offered))
		if refused > normalRefused || second.P99 > normalLatency*usual.value() {
			last = second.At - until
			if i == len(m.timeline)-1 {
				return -1
			}
		}
	}
	return last
}
