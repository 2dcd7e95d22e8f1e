package speed

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// The sustainable concurrency of a server is estimated from the rate at which it answers while a number n of requests runs:
// answers with n running, divided by the time that n were running. That time follows from what answers leave behind: a server
// goes from n to n+1 requests as often as back, so that requests which arrive at random find n as often as answers leave n
// behind. Where nodes send fewer requests to busy servers the time with many running is underestimated, so that a server
// looks faster then, and is not limited by mistake.
//
// The time of single answers by the number running is not used. Long requests and machines that are slow at times see more
// arrivals: their times grow with the number running although that is not the cause. They hardly change the rate.
const (
	// concurrencyHalfLife is that of the counts, in time in which they are observed. Work varies by its mean: the rates
	// need about 1,000 answers to differ reliably.
	concurrencyHalfLife = 120 * time.Second
	// limitedHalfLife is the same while a server is limited, so that a server which has recovered is found within
	// a few trials.
	limitedHalfLife = 10 * time.Second
	// limitedAnswers is the number of answers that the counts of a server which becomes limited are reduced to: trials have about
	// 100 each.
	limitedAnswers = 300
	// minDrop is the least fall of the logarithm of the rate, from the sustainable concurrency to all slots, of a server that
	// is limited, after dropDeviations standard deviations of it are subtracted.
	minDrop        = 0.02
	dropDeviations = 2
	// minKeptDrop is the fall below which a limit ends if the fall is less by one standard deviation.
	minKeptDrop = -0.05
	// nearlyAll is the part of the largest rate that counts as nearly as much.
	nearlyAll = 0.95
	// minStateCount is the number of answers and of observations that a number running needs.
	minStateCount = 20
	// trialGroups is the number of groups of servers whose limits are lifted in turn, each for trialLength, and trialDelay the
	// time until the lift has an effect: guidance is sent every 2 s.
	trialGroups = 6
	trialLength = 8 * time.Second
	trialDelay  = 3 * time.Second
	// limitSilence is the time without observations after which a limit ends: longer than from one trial to the next.
	limitSilence = time.Minute
	// maxSlots bounds the slots of a server whose concurrency is learned, and thus the size of reports.
	maxSlots = 64
)

// concurrency is what is known of the sustainable concurrency of a server.
type concurrency struct {
	left  []float64 // answers by the number of requests left; the last element stands for all slots taken
	at    time.Time // of the latest counts
	limit int       // 0: all slots
}

// addConcurrency processes the counts in a report about a server. The time between reports counts as observed up to firstInterval.
// elapsed is the time since the start of the estimator.
func (s *server) addConcurrency(r Report, elapsed time.Duration, now time.Time) {
	c := &s.concurrency
	size := len(r.Left)
	if size < 3 || size > maxSlots+1 || c.limit > 0 && !isObservedTrial(r.Server, elapsed) {
		return
	}
	if len(c.left) != size { // the server has another number of slots
		*c = concurrency{left: make([]float64, size), at: now, limit: c.limit}
	}
	halfLife := concurrencyHalfLife
	if c.limit > 0 {
		halfLife = limitedHalfLife
	}
	passed := min(max(now.Sub(c.at), 0), firstInterval)
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	c.at = now
	for i := range c.left {
		c.left[i] = c.left[i]*factor + float64(max(r.Left[i], 0))
	}
}

// isTrial reports whether the limit of a server is lifted, so that nodes send it more requests.
func isTrial(id site.ServerID, elapsed time.Duration) bool {
	return sinceTrial(id, elapsed) < trialLength
}

// isObservedTrial reports whether nodes know of the lift.
func isObservedTrial(id site.ServerID, elapsed time.Duration) bool {
	since := sinceTrial(id, elapsed)
	return since >= trialDelay && since < trialLength
}

// sinceTrial returns the time since the begin of the latest trial of a server. Each server belongs to one of the groups.
func sinceTrial(id site.ServerID, elapsed time.Duration) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	const round = trialGroups * trialLength
	offset := time.Duration(hash.Sum32()%trialGroups) * trialLength
	return (elapsed%round - offset + round) % round
}

// stateRate is the rate of answers while a number of requests runs, in unknown units, as a logarithm.
type stateRate struct {
	log, variance float64
	isKnown       bool
}

// difference returns by how much a rate exceeds another one, and its standard deviation.
func (r stateRate) difference(other stateRate) (difference, deviation float64) {
	return r.log - other.log, math.Sqrt(r.variance + other.variance)
}

// rates returns the rates by the number running; the first is of one request.
func (c *concurrency) rates() []stateRate {
	slots := len(c.left) - 1
	rates := make([]stateRate, slots)
	for n := 1; n <= slots; n++ {
		answers, observed := c.left[n-1], c.left[n]
		if answers < minStateCount || observed < minStateCount {
			continue
		}
		variance := 1/answers + 1/observed
		if n == slots {
			// Answers that leave all slots taken have waiting requests behind them: they are of this state, too, and their
			// number varies with the time in it.
			waited := answers / (answers + observed)
			variance *= waited * waited
			answers += observed
		}
		rates[n-1] = stateRate{log: math.Log(answers / observed), variance: variance, isKnown: true}
	}
	return rates
}

// update decides whether the server is limited. Only a fall of the rate while the number running at least doubles is
// taken for a slowdown by load: where machines are slow for 400 ms at a time, the rate with three of four slots taken
// exceeded that with four by up to a sixth, since these are more often taken while the machine is slow; with two it did not.
func (c *concurrency) update(slots int, now time.Time) {
	if len(c.left) != slots+1 {
		if c.limit >= slots || len(c.left) > 0 || now.Sub(c.at) > limitSilence {
			c.limit = 0
		}
		return
	}
	if now.Sub(c.at) > limitSilence {
		c.limit = 0
		return
	}
	rates := c.rates()
	full := rates[slots-1]
	if c.limit > 0 {
		if held := rates[min(c.limit, slots)-1]; full.isKnown && held.isKnown {
			if drop, deviation := held.difference(full); drop+deviation < minKeptDrop {
				c.limit = 0
			}
		}
		return
	}
	for n := 1; n <= slots/2; n++ {
		if rates[n-1].isKnown && full.isKnown {
			if drop, deviation := rates[n-1].difference(full); drop-dropDeviations*deviation > minDrop {
				c.limit = sustainable(rates, slots)
				c.reduce()
				return
			}
		}
	}
}

// reduce reduces the counts to those of limitedAnswers.
func (c *concurrency) reduce() {
	total := 0.0
	for _, count := range c.left {
		total += count
	}
	for i := range c.left {
		c.left[i] *= min(1, limitedAnswers/max(total, 1))
	}
}

// sustainable returns the smallest number running with nearly the largest rate among it and the larger ones. A number that is
// hardly observed is passed over.
func sustainable(rates []stateRate, slots int) int {
	for n := 1; n < slots; n++ {
		exceeds := func(other stateRate) bool {
			return other.isKnown && other.log > rates[n-1].log-math.Log(nearlyAll)
		}
		if rates[n-1].isKnown && !slices.ContainsFunc(rates[n:], exceeds) {
			return n
		}
	}
	return 0
}

// SlotsOf returns the slots of a server, reduced to its sustainable concurrency.
func (s Service) SlotsOf(id site.ServerID, slots int) int {
	if limit := s.Servers[id].Concurrency; limit > 0 {
		return min(limit, slots)
	}
	return slots
}
