package route

import (
	"sync"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// ActivationSink takes what lessors decided off the log. Lessors and the
// handler of their announcements write to it; the router reads it. Methods may
// be called concurrently.
type ActivationSink interface {
	// Activated tells that a standby server owns a shard under the standby's
	// fence.
	Activated(shard topo.ShardID, fence topo.Fence, owner topo.ServerID)
	// Continued tells that a standby lessor went on under the standby's term.
	Continued(group topo.GroupID, term topo.Term, node topo.NodeID, boot topo.BootID)
}

// Holder holds the current Overlay. It implements ActivationSink.
type Holder struct {
	current atomic.Pointer[Overlay]

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a holder of an empty overlay.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Overlay returns the current overlay; it may be nil, which is empty.
func (h *Holder) Overlay() *Overlay { return h.current.Load() }

// Changed returns a channel that is closed when the overlay is replaced.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Activated implements ActivationSink.
func (h *Holder) Activated(shard topo.ShardID, fence topo.Fence, owner topo.ServerID) {
	h.replace(func(o *Overlay) *Overlay {
		return o.Activate(Activation{Shard: shard, Fence: fence, Owner: owner})
	})
}

// Continued implements ActivationSink.
func (h *Holder) Continued(group topo.GroupID, term topo.Term, node topo.NodeID, boot topo.BootID) {
	h.replace(func(o *Overlay) *Overlay {
		return o.Continue(Continuation{Group: group, Term: term, Node: node, Boot: boot})
	})
}

// Prune drops what the view has passed.
func (h *Holder) Prune(view *state.View) {
	h.replace(func(o *Overlay) *Overlay { return o.Prune(view) })
}

func (h *Holder) replace(change func(*Overlay) *Overlay) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.current.Load()
	after := change(before)
	if after == before {
		return
	}
	h.current.Store(after)
	close(h.changed)
	h.changed = make(chan struct{})
}
