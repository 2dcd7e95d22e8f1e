// Package window counts over sliding windows, which are divided into slots of equal length.
// Slots are numbered by the time since the start of the process, so that a window neither
// loses nor repeats counts when the time of day is set.
package window

import (
	"iter"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// Sliding holds counts of type T for the latest slots of time. It is not safe for concurrent
// use.
type Sliding[T any] struct {
	slotTime time.Duration
	slots    []slot[T]
}

type slot[T any] struct {
	number int64 // of the slot, counted from the start of the process
	counts T
}

// New returns a window of a number of slots without counts.
func New[T any](slots int, slotTime time.Duration) *Sliding[T] {
	return &Sliding[T]{slotTime: slotTime, slots: make([]slot[T], slots)}
}

// At returns the counts of the slot that contains now, a value of time.Now or clock.Now.
func (s *Sliding[T]) At(now time.Time) *T {
	number := s.number(now)
	current := &s.slots[modulo(number, int64(len(s.slots)))]
	if current.number != number {
		*current = slot[T]{number: number}
	}
	return &current.counts
}

// Past returns the counts of the slot that contains a time, or zero if it is not one of those that are kept.
func (s *Sliding[T]) Past(at time.Time) (counts T) {
	number := s.number(at)
	if past := s.slots[modulo(number, int64(len(s.slots)))]; past.number == number {
		counts = past.counts
	}
	return counts
}

// Latest returns the counts of the given number of slots up to the one that contains now.
func (s *Sliding[T]) Latest(slots int, now time.Time) iter.Seq[T] {
	oldest := s.number(now) - int64(slots) + 1
	return func(yield func(T) bool) {
		for _, part := range s.slots {
			if part.number >= oldest && !yield(part.counts) {
				return
			}
		}
	}
}

func (s *Sliding[T]) number(now time.Time) int64 {
	since := clock.SinceStart(now)
	return int64((since - modulo(since, s.slotTime)) / s.slotTime)
}

// modulo returns the remainder of a division that rounds down, so that times before the start
// of the process, as in tests, get slots of equal length too.
func modulo[N ~int64](n, divisor N) N { return (n%divisor + divisor) % divisor }
