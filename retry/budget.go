package retry

import "time"

// The window of a budget: a ring of slots, each for a part of it.
const (
	budgetSlots    = 10
	budgetSlotTime = time.Second
)

// Budget allows a number of retries in proportion to the first attempts of the
// last ten seconds, so that an outage is not multiplied. It is pure and not for
// concurrent use.
type Budget struct {
	ratio float64 // retries for each first attempt
	least float64 // retries per window that are always allowed
	slots [budgetSlots]budgetSlot
}

type budgetSlot struct {
	index   int64 // which part of time
	firsts  float64
	retries float64
}

// NewBudget returns a budget of ratio retries for each first attempt, and least
// in each window however few those are.
func NewBudget(ratio, least float64) *Budget {
	return &Budget{ratio: ratio, least: least}
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) { b.slot(now).firsts++ }

// Take counts a retry if the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	firsts, retries := b.sums(now)
	if retries+1 > b.least+b.ratio*firsts {
		return false
	}
	b.slot(now).retries++
	return true
}

// Spent returns the retries and the first attempts within the window.
func (b *Budget) Spent(now time.Time) (retries, firsts float64) {
	firsts, retries = b.sums(now)
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

func (b *Budget) sums(now time.Time) (firsts, retries float64) {
	oldest := now.UnixNano()/int64(budgetSlotTime) - budgetSlots
	for i := range b.slots {
		if b.slots[i].index > oldest {
			firsts += b.slots[i].firsts
			retries += b.slots[i].retries
		}
	}
	return firsts, retries
}
