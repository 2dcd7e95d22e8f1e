package follower

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/state"
)

// maxPending bounds the appended records whose results are awaited.
const maxPending = 1024

// outcomes connects the appender with the applier, which learns what became of
// this writer's sequences. It is safe for concurrent use.
type outcomes struct {
	mu      sync.Mutex
	pending map[uint64]*group
}

func newOutcomes() *outcomes { return &outcomes{pending: map[uint64]*group{}} }

// expect registers a sequence before it is appended; false when too many are
// awaited.
func (o *outcomes) expect(sequence uint64, g *group) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPending {
		o.dropEnded()
	}
	if len(o.pending) >= maxPending {
		return false
	}
	o.pending[sequence] = g
	return true
}

func (o *outcomes) dropEnded() {
	for sequence, g := range o.pending {
		if g.ended() {
			delete(o.pending, sequence)
		}
	}
}

// awaited reports whether a sequence's result is not known yet.
func (o *outcomes) awaited(sequence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, waiting := o.pending[sequence]
	return waiting
}

// fail ends a sequence whose result will not be seen.
func (o *outcomes) fail(sequence uint64, err error) {
	if g := o.take(sequence); g != nil {
		g.fail(err)
	}
}

// resolve hands over the result of a sequence that was applied.
func (o *outcomes) resolve(sequence uint64, result state.Result) {
	if g := o.take(sequence); g != nil {
		g.settle(result)
	}
}

// failThrough tells that the state jumped: the results of sequences up to last
// were not seen.
func (o *outcomes) failThrough(last uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for sequence, g := range o.pending {
		if sequence <= last {
			g.fail(err)
			delete(o.pending, sequence)
		}
	}
}

func (o *outcomes) take(sequence uint64) *group {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.pending[sequence]
	delete(o.pending, sequence)
	return g
}
