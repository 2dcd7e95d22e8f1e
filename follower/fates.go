package follower

import (
	"sync"

	"github.com/burdockspindle/burdockspindle/state"
)

// maxPending bounds the appended records whose results are awaited.
const maxPending = 1024

// fates connects the appender with the applier, which learns what became of
// this writer's sequences. It is safe for concurrent use.
type fates struct {
	mu      sync.Mutex
	pending map[uint64]*group
}

func newFates() *fates { return &fates{pending: map[uint64]*group{}} }

// expect registers a sequence before it is appended; false when too many are
// awaited.
func (f *fates) expect(sequence uint64, g *group) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) >= maxPending {
		f.dropEnded()
	}
	if len(f.pending) >= maxPending {
		return false
	}
	f.pending[sequence] = g
	return true
}

func (f *fates) dropEnded() {
	for sequence, g := range f.pending {
		if g.ended() {
			delete(f.pending, sequence)
		}
	}
}

// awaited reports whether a sequence's result is not known yet.
func (f *fates) awaited(sequence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, waiting := f.pending[sequence]
	return waiting
}

// fail ends a sequence whose result will not be seen.
func (f *fates) fail(sequence uint64, err error) {
	if g := f.take(sequence); g != nil {
		g.fail(err)
	}
}

// resolve hands over the result of a sequence that was applied.
func (f *fates) resolve(sequence uint64, result state.Result) {
	if g := f.take(sequence); g != nil {
		g.settle(result)
	}
}

// passOver tells that the state jumped: the results of sequences up to last
// were not seen.
func (f *fates) passOver(last uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for sequence, g := range f.pending {
		if sequence <= last {
			g.fail(err)
			delete(f.pending, sequence)
		}
	}
}

func (f *fates) take(sequence uint64) *group {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.pending[sequence]
	delete(f.pending, sequence)
	return g
}
