package lease

import (
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// HolderState is the state that determines a Holder's replies, for tests that
// compare states. Its maps must not be modified.
type HolderState struct {
	Boot         topo.BootID
	Highest      topo.Term
	Lessor       string
	Expires      time.Duration // on the server's clock
	ListTerm     topo.Term
	Generation   uint64
	HighestFence map[topo.ShardID]topo.Fence
	Activated    map[topo.ShardID]topo.Fence
}

// State returns the state that determines the holder's replies, except its grants
// and the requests in flight.
func (h *Holder) State() HolderState {
	return HolderState{
		Boot:         h.boot,
		Highest:      h.highest,
		Lessor:       h.lessor,
		Expires:      h.expires,
		ListTerm:     h.listTerm,
		Generation:   h.generation,
		HighestFence: h.highestFence,
		Activated:    h.activated,
	}
}

// Clone returns an independent copy, so that tests can try several
// continuations of one state.
func (h *Holder) Clone() *Holder {
	clone := *h
	clone.grants = maps.Clone(h.grants)
	clone.standby = maps.Clone(h.standby)
	clone.highestFence = maps.Clone(h.highestFence)
	clone.activated = maps.Clone(h.activated)
	clone.runs = maps.Clone(h.runs)
	return &clone
}
