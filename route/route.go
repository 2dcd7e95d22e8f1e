// Package route decides where a request goes: to which server, under which fence
// and by which path. The decision is pure: it reads an immutable view of the
// site's state and an immutable overlay of the changes that lessors announced
// without a record in the log.
package route

import (
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Path is the path that a request takes from this node.
type Path uint8

// Paths.
const (
	// PathRefuse: the request is invalid and is refused; see Decision.Reason.
	PathRefuse Path = iota + 1
	// PathWait: the shard has no owner or the owner has no lessor; a later view
	// may have one.
	PathWait
	// PathLocal: this node is the admission point of the owner.
	PathLocal
	// PathForward: another node is the admission point of the owner.
	PathForward
	// PathDirect: the admission point is unreachable, and this node is a deputy.
	// It sends to the owner within the deputy's share of the owner's limit.
	PathDirect
	// PathDeputy: the admission point is unreachable; a deputy sends the request.
	PathDeputy
)

// String returns the name of the path for dumps and logs.
func (p Path) String() string {
	switch p {
	case PathRefuse:
		return "refuse"
	case PathWait:
		return "wait"
	case PathLocal:
		return "local"
	case PathForward:
		return "forward"
	case PathDirect:
		return "direct"
	case PathDeputy:
		return "deputy"
	}
	return "undecided"
}

// Decision describes where a request goes.
type Decision struct {
	Path    Path
	Reason  serverapi.Reason // of PathRefuse and PathWait
	Service *siteconfig.Service
	Shard   topo.ShardID // zero for unkeyed services
	Fence   topo.Fence   // zero for unkeyed services
	Server  topo.ServerID
	Address string // of the server, host:port
	Group   topo.GroupID
	Term    topo.Term // of the group's lessor
	Lessor  topo.NodeID
	Deputy  topo.NodeID // of PathDeputy
	Slots   int         // of PathDirect: most concurrent requests at the server
}

// SameOwner reports whether two decisions have the same server, fence, term and
// path, so that another attempt would go the same way.
func (d Decision) SameOwner(other Decision) bool {
	return d.Server == other.Server && d.Fence == other.Fence && d.Term == other.Term &&
		d.Path == other.Path
}

// Self is the incarnation of the node that decides.
type Self struct {
	Node topo.NodeID
	Boot topo.BootID
}

// Keyed returns the decision for a key of a keyed service.
func Keyed(view *state.View, overlay *Overlay, self Self, service topo.Service, key string) Decision {
	config, exists := view.Service(service)
	if !exists {
		return Decision{Path: PathRefuse, Reason: callerapi.ReasonUnknownService}
	}
	if !config.Keyed {
		return Decision{Path: PathRefuse, Reason: callerapi.ReasonUnexpectedKey, Service: config}
	}
	assignment, exists := view.Lookup(service, key)
	if !exists {
		return Decision{Path: PathWait, Reason: callerapi.ReasonNoOwner, Service: config}
	}
	owner, fence := overlay.owner(assignment)
	decision := Decision{Service: config, Shard: assignment.Shard, Fence: fence}
	if fence.IsZero() || owner == "" {
		decision.Path = PathWait
		decision.Reason = callerapi.ReasonNoOwner
		return decision
	}
	return decision.toServer(view, overlay, self, owner)
}

// Server returns the decision for one server of an unkeyed service.
func Server(view *state.View, overlay *Overlay, self Self, service topo.Service, server topo.ServerID) Decision {
	config, exists := view.Service(service)
	if !exists {
		return Decision{Path: PathRefuse, Reason: callerapi.ReasonUnknownService}
	}
	if config.Keyed {
		return Decision{Path: PathRefuse, Reason: callerapi.ReasonMissingKey, Service: config}
	}
	decision := Decision{Service: config}
	return decision.toServer(view, overlay, self, server)
}

// toServer completes a decision whose server is known.
func (d Decision) toServer(view *state.View, overlay *Overlay, self Self, id topo.ServerID) Decision {
	d.Server = id
	server, exists := view.Server(id)
	if !exists || server.Phase == state.PhaseGone || view.ServerLost(id) {
		d.Path = PathWait
		d.Reason = callerapi.ReasonNoOwner
		return d
	}
	d.Address = server.Address
	d.Group = server.Group
	group, exists := view.Group(server.Group)
	if !exists {
		d.Path = PathWait
		d.Reason = callerapi.ReasonNotLessor
		return d
	}
	group = overlay.lessor(group)
	d.Term = group.Term
	d.Lessor = group.Lessor
	d.Path = PathForward
	if group.Lessor == self.Node {
		d.Path = PathLocal
	}
	if group.Lessor == self.Node && group.LessorBoot != self.Boot {
		d.Path = PathWait // claimed by an earlier incarnation of this node
		d.Reason = callerapi.ReasonNotLessor
	}
	return d
}
