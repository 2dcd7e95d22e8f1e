package lessor

import "github.com/burdockspindle/burdockspindle/topo"

// Directory reports to the request path what this node may do as a lessor.
// Module modules/lessor implements it. Methods may be called concurrently.
type Directory interface {
	// MayRenew reports whether this node is the group's lessor and currently
	// has the right to renew leases for at least one kind of service.
	MayRenew(group topo.GroupID) bool
	// Term returns the term in which this node is the group's lessor; false if
	// it is not the lessor.
	Term(group topo.GroupID) (topo.Term, bool)
	// MaySend reports whether this node, as the group's lessor, has granted a
	// shard to a server under a fence and still has the right to renew it. For
	// services whose servers do not check fencing tokens, this check makes the
	// lessor the single sender.
	MaySend(group topo.GroupID, shard topo.ShardID, server topo.ServerID, fence topo.Fence) bool
}
