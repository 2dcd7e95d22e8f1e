package follower

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/state"
)

// maxPending bounds the records whose results are awaited.
const maxPending = 1024

// outcomes passes the results of this writer's records from the applier to their
// submitters. It is safe for concurrent use.
type outcomes struct {
	mu      sync.Mutex
	pending map[uint64]*group // by sequence
}

func newOutcomes() *outcomes { return &outcomes{pending: map[uint64]*group{}} }

// expect registers a sequence before it is appended. It returns false when
// maxPending sequences are awaited.
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

// awaited reports whether the result of a sequence is still unknown.
func (o *outcomes) awaited(sequence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, waiting := o.pending[sequence]
	return waiting
}

// fail ends a sequence whose result will not become known.
func (o *outcomes) fail(sequence uint64, err error) {
	if g := o.take(sequence); g != nil {
		g.fail(err)
	}
}

// resolve reports the result of an applied sequence to its submitters.
func (o *outcomes) resolve(sequence uint64, result state.Result) {
	if g := o.take(sequence); g != nil {
		g.settle(result)
	}
}

// failThrough ends all sequences up to last, whose results are unknown because
// the state was replaced.
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
