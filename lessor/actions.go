package lessor

import "github.com/burdockspindle/burdockspindle/topo"

// Action is an operation that is due. The driver starts it with the Begin
// method named in the doc comment of its type.
type Action interface{ action() }

// Renew renews a server's lease, or requests a time stamp from it: BeginRenew.
type Renew struct{ Server topo.ServerID }

// Acknowledge asks a server to reject earlier terms: BeginAcknowledge.
type Acknowledge struct{ Server topo.ServerID }

// SendHeartbeat sends a heartbeat to the standby lessor: BeginHeartbeat.
type SendHeartbeat struct{ To topo.NodeID }

// Ask asks a previous lessor or standby lessor whether it has stopped:
// BeginAsk.
type Ask struct{ Node topo.NodeID }

// Probe checks whether a node is alive, over a new connection: BeginProbe.
type Probe struct{ Node topo.NodeID }

// ClaimTerm claims the group's next term in the log: BeginClaim.
type ClaimTerm struct{}

// TakeOverOffLog makes the standby lessor the lessor without the log:
// BeginTakeOverOffLog.
type TakeOverOffLog struct{}

// Submit writes assignments to the log: BeginSubmit.
type Submit struct{}

// Activate makes the standby server of a shard its owner without the log:
// BeginActivate.
type Activate struct{ Shard topo.ShardID }

// ChangeMode asks the standby lessor for another mode: BeginChangeMode.
type ChangeMode struct{ To Mode }

// Announce sends the zone's nodes the decisions that were made without the log:
// BeginAnnounce.
type Announce struct{}

func (Renew) action()          {}
func (Acknowledge) action()    {}
func (SendHeartbeat) action()  {}
func (Ask) action()            {}
func (Probe) action()          {}
func (ClaimTerm) action()      {}
func (TakeOverOffLog) action() {}
func (Submit) action()         {}
func (Activate) action()       {}
func (ChangeMode) action()     {}
func (Announce) action()       {}
