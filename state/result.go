package state

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Reason is the reason why a record, or one assignment of it, had no effect.
type Reason int

// Reasons.
const (
	ReasonDuplicate    Reason = iota + 1 // writer and sequence were applied before
	ReasonMalformed                      // the record is invalid by itself
	ReasonBase                           // another site configuration is in force
	ReasonShardsOwned                    // the change needs shards without owners
	ReasonBoot                           // another incarnation of the node is current
	ReasonTerm                           // another term is in force
	ReasonStandby                        // not the standby lessor of the term in force
	ReasonFence                          // another fence is in force
	ReasonNoShard                        // no such service, hash range or split key
	ReasonNoServer                       // the named server is not eligible for the shard
	ReasonOwnersDiffer                   // split key and hash range have different owners
	ReasonLineage                        // another rebase was applied first
	ReasonNothingNamed                   // the record names only unknown servers and nodes
	ReasonChanged                        // changed after the state on which the writer decided
	reasonCount                          // number of reasons, including 0
)

var reasonNames = [reasonCount]string{
	ReasonDuplicate:    "duplicate",
	ReasonMalformed:    "malformed",
	ReasonBase:         "base-version",
	ReasonShardsOwned:  "shards-owned",
	ReasonBoot:         "boot",
	ReasonTerm:         "term",
	ReasonStandby:      "standby",
	ReasonFence:        "fence",
	ReasonNoShard:      "no-shard",
	ReasonNoServer:     "no-server",
	ReasonOwnersDiffer: "owners-differ",
	ReasonLineage:      "lineage",
	ReasonNothingNamed: "nothing-named",
	ReasonChanged:      "changed-since",
}

// String returns the reason's name.
func (r Reason) String() string {
	if r <= 0 || r >= reasonCount {
		return "none"
	}
	return reasonNames[r]
}

// Conflict describes why a record, or one assignment of it, had no effect.
type Conflict struct {
	Reason   Reason
	Subject  string // the shard, group, node, server or service
	Expected string // what the record expected; may be empty
	InForce  string // what was in force; may be empty
}

// Error implements error.
func (c *Conflict) Error() string {
	text := c.Reason.String()
	if c.Subject != "" {
		text += " " + c.Subject
	}
	if c.Expected == "" && c.InForce == "" {
		return text
	}
	return fmt.Sprintf("%s: expected %q, in force %q", text, c.Expected, c.InForce)
}

// Rejection is one assignment that had no effect.
type Rejection struct {
	Index    int // in AssignShards.assignments
	Conflict *Conflict
}

// Result describes the effect of applying one record.
type Result struct {
	Offset topo.Offset
	// Accepted is true when the record took effect; for AssignShards, when any
	// assignment took effect.
	Accepted bool
	// Rejected lists the assignments of AssignShards without effect, ascending.
	Rejected []Rejection
	// Conflict is set when the record was not accepted.
	Conflict *Conflict
	// Rebase is set when the record restarts the state from a snapshot. The
	// state is then unchanged: the caller builds the new state with Restore,
	// Resume, the records from Rebase.resume up to this one, and
	// CompleteRebase.
	Rebase *bspb.Rebase
}

// RejectedIndexes returns the indexes of the rejected assignments.
func (r *Result) RejectedIndexes() []int {
	if len(r.Rejected) == 0 {
		return nil
	}
	indexes := make([]int, len(r.Rejected))
	for i := range r.Rejected {
		indexes[i] = r.Rejected[i].Index
	}
	return indexes
}
