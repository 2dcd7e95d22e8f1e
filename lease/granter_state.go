package lease

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// GranterState is the complete state of a Granter, for state dumps and for tests
// that compare states.
type GranterState struct {
	Boot       topo.BootID // incarnation of the server that replied last
	BootSeenAt time.Time   // when the first reply of Boot was received
	Stamp      int64       // newest stamp of Boot, on the server's clock
	StampAt    time.Time   // when the reply with that stamp was received
	Until      time.Time   // latest expiry of any tracked lease
}

// State returns the granter's state.
func (g *Granter) State() GranterState {
	return GranterState{
		Boot:       g.boot,
		BootSeenAt: g.bootSeenAt,
		Stamp:      g.stamp,
		StampAt:    g.stampAt,
		Until:      g.until,
	}
}
