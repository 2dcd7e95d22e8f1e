package duty

import (
	"maps"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
)

const (
	// minSentDifference is the least difference from a typical server, relative to it, from which on a speed is sent to
	// nodes, and minKeptDifference that from which on it goes on to be sent.
	minSentDifference = 0.05
	minKeptDifference = 0.025
	// maxSentDeviation is the greatest relative standard deviation of a speed that is sent, unless the server differs from a
	// typical one by more than reliableDeviations of it.
	maxSentDeviation   = 0.15
	reliableDeviations = 2
	// minSentAnswers is the number of answers that a speed rests on at least, and minUsableAnswers that of a service, which
	// tell the work of a request to a tenth.
	minSentAnswers   = 4
	minUsableAnswers = 100
	// minSentChange is the least relative change of a figure that is sent. A change by more than urgentChange is sent at
	// once, others at most every guidanceResendInterval: each message has the speeds of all servers.
	minSentChange = 0.1
	urgentChange  = 0.5
)

// sentSpeeds holds the speeds of servers and the work of routes in the guidance.
type sentSpeeds struct {
	speeds map[site.ServerID]float64
	work   map[string]float64
	// concurrency holds the limits of servers that slow down before they are full.
	concurrency map[site.ServerID]int
	at          time.Time // of the latest change
	// startedAt is when the speeds of the previous lessor were taken over; zero: there were none.
	startedAt time.Time
}

// update adopts new estimates if they are due; nil: there are none.
func (s *sentSpeeds) update(estimates *speed.Estimates, now time.Time) {
	if estimates == nil {
		*s = sentSpeeds{}
		return
	}
	speeds := s.nextSpeeds(estimates)
	work, concurrency := map[string]float64{}, nextConcurrency(estimates)
	if !s.startedAt.IsZero() && now.Sub(s.startedAt) < startGrace {
		keepMissing(speeds, s.speeds, estimates)
		keepUnreported(concurrency, s.concurrency, estimates)
		maps.Copy(work, s.work)
	}
	for route, seconds := range estimates.Work {
		work[route] = kept(s.work[route], seconds)
	}
	isDue := s.at.IsZero() || now.Sub(s.at) >= guidanceResendInterval || hasUrgentChange(s.speeds, speeds)
	if !isDue || maps.Equal(speeds, s.speeds) && maps.Equal(work, s.work) && maps.Equal(concurrency, s.concurrency) {
		return
	}
	s.speeds, s.work, s.concurrency, s.at = speeds, work, concurrency, now
}

// keepMissing keeps the speeds of servers without a reliable estimate.
func keepMissing(speeds, before map[site.ServerID]float64, estimates *speed.Estimates) {
	known := map[site.ServerID]speed.Estimate{}
	for _, service := range estimates.Services {
		if service.Answers >= minUsableAnswers {
			maps.Copy(known, service.Servers)
		}
	}
	for id, relative := range before {
		if e, isKnown := known[id]; !isKnown || !isReliable(e) {
			speeds[id] = relative
		}
	}
}

// nextConcurrency returns the limits of servers, without those that are lifted for a trial.
func nextConcurrency(estimates *speed.Estimates) map[site.ServerID]int {
	limits := map[site.ServerID]int{}
	for _, service := range estimates.Services {
		for id, e := range service.Servers {
			if e.Concurrency > 0 && !e.IsTrial {
				limits[id] = e.Concurrency
			}
		}
	}
	return limits
}

// keepUnreported keeps the limits of servers without answers.
func keepUnreported(limits, before map[site.ServerID]int, estimates *speed.Estimates) {
	for id, limit := range before {
		isReported := false
		for _, service := range estimates.Services {
			_, found := service.Servers[id]
			isReported = isReported || found
		}
		if !isReported {
			limits[id] = limit
		}
	}
}

func (s *sentSpeeds) nextSpeeds(estimates *speed.Estimates) map[site.ServerID]float64 {
	speeds := map[site.ServerID]float64{}
	for _, service := range estimates.Services {
		if service.Answers < minUsableAnswers {
			continue
		}
		for id, e := range service.Servers {
			before, isSent := s.speeds[id]
			least := minSentDifference
			if isSent {
				least = minKeptDifference
			}
			if isReliable(e) && math.Abs(e.Relative-1) > least {
				speeds[id] = kept(before, e.Relative)
			}
		}
	}
	return speeds
}

// isReliable reports whether nodes should choose servers by an estimate.
func isReliable(e speed.Estimate) bool {
	if e.Answers < minSentAnswers {
		return false
	}
	return e.Deviation <= maxSentDeviation || math.Abs(math.Log(e.Relative)) > reliableDeviations*e.Deviation
}

// kept returns the figure that was sent before unless the next one differs by more than minSentChange.
func kept(before, next float64) float64 {
	if before > 0 && math.Abs(next-before) <= minSentChange*before {
		return before
	}
	return next
}

func hasUrgentChange(before, next map[site.ServerID]float64) bool {
	for id, relative := range next {
		was := before[id]
		if was == 0 {
			was = 1
		}
		if math.Abs(math.Log(relative/was)) > math.Log1p(urgentChange) {
			return true
		}
	}
	return false
}
