package state

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Reason says why a record, or one assignment of it, had no effect.
type Reason int

// Reasons.
const (
	ReasonDuplicate     Reason = iota + 1 // writer and sequence were applied before
	ReasonMalformed                       // the record breaks a rule of its own
	ReasonBase                            // another site configuration is in force
	ReasonShardsOwned                     // the change needs shards without owners
	ReasonBoot                            // another run of the node is current
	ReasonTerm                            // another term is in force
	ReasonStandby                         // not the standby lessor of the term in force
	ReasonFence                           // another fence is in force
	ReasonNoShard                         // no such service, hash range or split key
	ReasonNoServer                        // the named server cannot take the shard
	ReasonOwnersDiffer                    // split key and hash range have different owners
	ReasonLineage                         // another rebase came first
	ReasonNothingNamed                    // nothing that the record names is known
	ReasonChanged                         // changed after the state that was decided on
	reasonAfterLastName                   // not a reason
)

var reasonNames = [reasonAfterLastName]string{
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
	if r <= 0 || r >= reasonAfterLastName {
		return "none"
	}
	return reasonNames[r]
}

// Conflict says why a record, or one assignment of it, had no effect.
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

// Result says what applying one record did.
type Result struct {
	Offset topo.Offset
	// Accepted is true when the record's expectation held; for AssignShards,
	// when any assignment took effect.
	Accepted bool
	// Rejected lists the assignments of AssignShards without effect, ascending.
	Rejected []Rejection
	// Conflict is set when the record was not accepted.
	Conflict *Conflict
	// Rebase is set when the record restarts the state from a snapshot. The
	// state is then unchanged: the caller builds the new one with Restore,
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
