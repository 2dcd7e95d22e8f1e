package retry

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock/window"
)

// A budget counts over a sliding window, which is a ring of slots of equal length.
const (
	budgetSlots    = 10
	budgetSlotTime = time.Second
	// retrySlots is the number of slots in which retries count: the current slot has only
	// begun, so budgetSlots slots cover less than the window.
	retrySlots = budgetSlots + 1
)

// Budget allows a number of retries in proportion to the first attempts of the
// last ten seconds, so that retries do not amplify an outage. It does no I/O and
// is not safe for concurrent use.
type Budget struct {
	ratio        float64 // retries for each first attempt
	minPerWindow float64 // retries per window that are always allowed
	counts       *window.Sliding[budgetCounts]
}

type budgetCounts struct {
	firsts  float64
	retries float64
}

// NewBudget returns a budget of ratio retries for each first attempt, plus
// minPerWindow retries in each window regardless of the number of first attempts.
func NewBudget(ratio, minPerWindow float64) *Budget {
	return &Budget{ratio: ratio, minPerWindow: minPerWindow, counts: window.New[budgetCounts](retrySlots, budgetSlotTime)}
}

// First records a first attempt.
func (b *Budget) First(now time.Time) { b.counts.At(now).firsts++ }

// Take reports whether the budget allows a retry, and records the retry if so.
func (b *Budget) Take(now time.Time) bool {
	firsts, retries := b.totals(now)
	if retries+1 > b.minPerWindow+b.ratio*firsts {
		return false
	}
	b.counts.At(now).retries++
	return true
}

// Spent returns the retries and the first attempts within the window.
func (b *Budget) Spent(now time.Time) (retries, firsts float64) {
	firsts, retries = b.totals(now)
	return retries, firsts
}

func (b *Budget) totals(now time.Time) (firsts, retries float64) {
	for slot := range b.counts.Latest(budgetSlots, now) {
		firsts += slot.firsts
	}
	for slot := range b.counts.Latest(retrySlots, now) {
		retries += slot.retries
	}
	return firsts, retries
}
