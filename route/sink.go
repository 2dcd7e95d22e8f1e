package route

import (
	"sync"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// ActivationSink receives the decisions that lessors take without a record in the
// log. Lessors and the handler of their announcements write to it; the router
// reads it. Methods may be called concurrently.
type ActivationSink interface {
	// Activated records that a standby server owns a shard under the standby's
	// fence.
	Activated(shard topo.ShardID, fence topo.Fence, owner topo.ServerID)
	// Continued records that a standby lessor took over under the standby's term.
	Continued(group topo.GroupID, term topo.Term, node topo.NodeID, boot topo.BootID)
}

// Holder holds the current Overlay. It implements ActivationSink.
type Holder struct {
	current atomic.Pointer[Overlay]

	mu      sync.Mutex // guards changed, and replacing current
	changed chan struct{}
}

// NewHolder returns a Holder with an empty overlay.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Overlay returns the current overlay, which may be nil if it is empty.
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

// Prune removes the entries that the view has superseded.
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
