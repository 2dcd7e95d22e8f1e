package lease

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// GranterState is everything that a Granter remembers, for state dumps and for
// tests that compare states.
type GranterState struct {
	Boot      topo.BootID // run of the server that was heard last
	BootHeard time.Time   // first reply of that run
	Stamp     int64       // newest stamp of that run, on the server's clock
	StampAt   time.Time   // when the reply with that stamp was received
	Until     time.Time   // latest end of any lease counted
}

// State returns what the granter remembers.
func (g *Granter) State() GranterState {
	return GranterState{
		Boot:      g.boot,
		BootHeard: g.bootHeard,
		Stamp:     g.stamp,
		StampAt:   g.stampAt,
		Until:     g.until,
	}
}
