package lessor

import "github.com/burdockspindle/burdockspindle/topo"

// Action is something that is due. The driver starts it with the Begin method
// named at each type.
type Action interface{ action() }

// Renew a server's lease, or ask it for a time stamp: BeginRenew.
type Renew struct{ Server topo.ServerID }

// Acknowledge asks a server to refuse earlier terms: BeginAcknowledge.
type Acknowledge struct{ Server topo.ServerID }

// SendHeartbeat to the standby lessor: BeginHeartbeat.
type SendHeartbeat struct{ To topo.NodeID }

// Ask a former lessor or standby lessor whether it has stopped: BeginAsk.
type Ask struct{ Node topo.NodeID }

// Probe asks whether a node lives, over a new connection: BeginProbe.
type Probe struct{ Node topo.NodeID }

// ClaimTerm claims the group's next term in the log: BeginClaim.
type ClaimTerm struct{}

// GoOn takes over without the log, as standby lessor: BeginGoOn.
type GoOn struct{}

// Submit writes assignments to the log: BeginSubmit.
type Submit struct{}

// Activate makes the standby server of a shard its owner off the log:
// BeginActivate.
type Activate struct{ Shard topo.ShardID }

// ChangeMode asks the standby lessor for another mode: BeginChangeMode.
type ChangeMode struct{ To Mode }

// Announce tells the zone's nodes what was decided off the log: BeginAnnounce.
type Announce struct{}

func (Renew) action()         {}
func (Acknowledge) action()   {}
func (SendHeartbeat) action() {}
func (Ask) action()           {}
func (Probe) action()         {}
func (ClaimTerm) action()     {}
func (GoOn) action()          {}
func (Submit) action()        {}
func (Activate) action()      {}
func (ChangeMode) action()    {}
func (Announce) action()      {}
