package retry

import "time"

// A budget counts over a sliding window, which is a ring of slots of equal length.
const (
	budgetSlots    = 10
	budgetSlotTime = time.Second
)

// Budget allows a number of retries in proportion to the first attempts of the
// last ten seconds, so that retries do not amplify an outage. It does no I/O and
// is not safe for concurrent use.
type Budget struct {
	ratio        float64 // retries for each first attempt
	minPerWindow float64 // retries per window that are always allowed
	slots        [budgetSlots]budgetSlot
}

type budgetSlot struct {
	index   int64 // Unix time divided by budgetSlotTime
	firsts  float64
	retries float64
}

// NewBudget returns a budget of ratio retries for each first attempt, plus
// minPerWindow retries in each window regardless of the number of first attempts.
func NewBudget(ratio, minPerWindow float64) *Budget {
	return &Budget{ratio: ratio, minPerWindow: minPerWindow}
}

// First records a first attempt.
func (b *Budget) First(now time.Time) { b.slot(now).firsts++ }

// Take reports whether the budget allows a retry, and records the retry if so.
func (b *Budget) Take(now time.Time) bool {
	firsts, retries := b.totals(now)
	if retries+1 > b.minPerWindow+b.ratio*firsts {
		return false
	}
	b.slot(now).retries++
	return true
}

// Spent returns the retries and the first attempts within the window.
func (b *Budget) Spent(now time.Time) (retries, firsts float64) {
	firsts, retries = b.totals(now)
	return retries, firsts
}

func (b *Budget) slot(now time.Time) *budgetSlot {
	index := now.UnixNano() / int64(budgetSlotTime)
	slot := &b.slots[index%budgetSlots]
	if slot.index != index {
		*slot = budgetSlot{index: index}
	}
	return slot
}

func (b *Budget) totals(now time.Time) (firsts, retries float64) {
	oldest := now.UnixNano()/int64(budgetSlotTime) - budgetSlots
	for i := range b.slots {
		if b.slots[i].index > oldest {
			firsts += b.slots[i].firsts
			retries += b.slots[i].retries
		}
	}
	return firsts, retries
}
