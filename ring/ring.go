// Package ring provides a bounded, typed queue between goroutines. The policy for
// a full queue is set at its creation, and each time that it applies is counted.
package ring

import (
	"context"
	"sync/atomic"
)

// Policy is the policy of Put for a full ring.
type Policy int

// Policies for a full ring.
const (
	// Wait blocks the producer until there is room or its context ends.
	Wait Policy = iota + 1
	// DropNew counts and discards the new item. It is for observations that are
	// repeated anyway.
	DropNew
	// Refuse returns a *FullError, so that the producer can report the refusal to
	// its caller.
	Refuse
)

// Ring is a bounded queue with any number of producers and consumers.
type Ring[T any] struct {
	name    string
	policy  Policy
	items   chan T
	dropped atomic.Uint64
	refused atomic.Uint64
	waited  atomic.Uint64
}

// New returns a ring with room for size items. It panics if size is below 1,
// which is a programming error.
func New[T any](name string, size int, policy Policy) *Ring[T] {
	if size < 1 {
		panic(&SizeError{Name: name, Size: size})
	}
	return &Ring[T]{name: name, policy: policy, items: make(chan T, size)}
}

// Put adds an item, or applies the policy if the ring is full. It returns nil, a
// *FullError, or the context's error.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	default:
	}
	switch r.policy {
	case DropNew:
		r.dropped.Add(1)
		return nil
	case Refuse:
		r.refused.Add(1)
		return &FullError{Name: r.name}
	}
	r.waited.Add(1)
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which consumers receive. It is never closed;
// consumers stop when their context ends.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats holds the counters of a ring.
type Stats struct {
	Name     string `json:"name"`
	Length   int    `json:"length"`
	Capacity int    `json:"capacity"`
	Dropped  uint64 `json:"dropped"`
	Refused  uint64 `json:"refused"`
	Waited   uint64 `json:"waited"` // number of Put calls that found the ring full and waited
}

// Stats returns the ring's counters for the state dump.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Name:     r.name,
		Length:   len(r.items),
		Capacity: cap(r.items),
		Dropped:  r.dropped.Load(),
		Refused:  r.refused.Load(),
		Waited:   r.waited.Load(),
	}
}

// FullError reports that a full ring refused an item.
type FullError struct{ Name string }

// Error implements error.
func (e *FullError) Error() string { return "ring " + e.Name + ": full" }

// SizeError reports a ring that was created with a size below 1.
type SizeError struct {
	Name string
	Size int
}

// Error implements error.
func (e *SizeError) Error() string { return "ring " + e.Name + ": size must be at least 1" }
