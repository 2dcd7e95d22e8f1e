// Package ring joins the goroutines of a process: a Ring is a bounded, typed
// queue whose full case is decided when it is made and counted when it happens.
package ring

import (
	"context"
	"sync/atomic"
)

// Full says what Put does when the ring is full.
type Full int

// Ways to treat a full ring.
const (
	// Wait blocks the producer until there is room or its context ends.
	Wait Full = iota + 1
	// DropNew counts and discards the new item; for observations that are
	// repeated anyway.
	DropNew
	// Refuse returns a *FullError, so that the producer tells its caller.
	Refuse
)

// Ring is a bounded queue with any number of producers and consumers.
type Ring[T any] struct {
	name    string
	full    Full
	items   chan T
	dropped atomic.Uint64
	refused atomic.Uint64
	waited  atomic.Uint64
}

// New returns a ring for size items. It panics on a size below 1, which is a
// programming error.
func New[T any](name string, size int, full Full) *Ring[T] {
	if size < 1 {
		panic(&SizeError{Name: name, Size: size})
	}
	return &Ring[T]{name: name, full: full, items: make(chan T, size)}
}

// Put adds an item, or treats the full ring as decided. It returns nil, a
// *FullError, or the context's error.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	default:
	}
	switch r.full {
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

// Items is the channel from which consumers receive. It is never closed; a
// consumer ends with its context.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Stats is what a ring has counted.
type Stats struct {
	Name     string `json:"name"`
	Length   int    `json:"length"`
	Capacity int    `json:"capacity"`
	Dropped  uint64 `json:"dropped"`
	Refused  uint64 `json:"refused"`
	Waited   uint64 `json:"waited"` // times that a producer had to wait
}

// Stats returns the ring's counts for the state dump.
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

// FullError reports an item that was refused by a full ring.
type FullError struct{ Name string }

// Error implements error.
func (e *FullError) Error() string { return "ring " + e.Name + ": full" }

// SizeError reports a ring made with a size below 1.
type SizeError struct {
	Name string
	Size int
}

// Error implements error.
func (e *SizeError) Error() string { return "ring " + e.Name + ": size must be at least 1" }
