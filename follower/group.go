package follower

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	maxMembers     = 64   // submissions that share one record
	maxAssignments = 1024 // assignments of one shared record
)

// group is one or more submissions that share a record. Only AssignShards
// records with the same lessor group, term and reason are combined, because each
// of their assignments is accepted or rejected by itself.
type group struct {
	members     []*submission
	assignments int
}

func newGroup(first *submission) *group {
	return &group{
		members:     []*submission{first},
		assignments: len(first.record.GetAssignShards().GetAssignments()),
	}
}

// add adds a submission if it can share the record, and reports whether it did.
func (g *group) add(next *submission) bool {
	assigns := next.record.GetAssignShards()
	if assigns == nil || len(g.members) == maxMembers {
		return false
	}
	if g.assignments+len(assigns.GetAssignments()) > maxAssignments {
		return false
	}
	if !shareable(g.members[0].record.GetAssignShards(), assigns) {
		return false
	}
	g.members = append(g.members, next)
	g.assignments += len(assigns.GetAssignments())
	return true
}

func shareable(a, b *bspb.AssignShards) bool {
	return a != nil &&
		a.GetGroup() == b.GetGroup() &&
		a.GetReason() == b.GetReason() &&
		proto.Equal(a.GetTerm(), b.GetTerm())
}

// ended reports whether no submitter waits any longer.
func (g *group) ended() bool {
	for _, s := range g.members {
		if s.ctx.Err() == nil {
			return false
		}
	}
	return true
}

// build returns the record to append.
func (g *group) build(writer string, sequence uint64) *bspb.Record {
	rec := proto.CloneOf(g.members[0].record)
	rec.Format = record.Format
	rec.Writer = writer
	rec.Sequence = sequence
	rec.WallMs = time.Now().UnixMilli()
	for _, s := range g.members[1:] {
		shared := rec.GetAssignShards()
		shared.Assignments = append(shared.Assignments, s.record.GetAssignShards().GetAssignments()...)
	}
	return rec
}

// fail ends every submission with an error.
func (g *group) fail(err error) {
	for _, s := range g.members {
		s.response <- submitResponse{err: err}
	}
}

// settle sends each submission its part of the record's result.
func (g *group) settle(result state.Result) {
	if len(g.members) == 1 {
		g.members[0].response <- submitResponse{outcome: fullOutcome(result)}
		return
	}
	first := 0
	for _, s := range g.members {
		next := first + len(s.record.GetAssignShards().GetAssignments())
		s.response <- submitResponse{outcome: partialOutcome(result, first, next)}
		first = next
	}
}

func fullOutcome(result state.Result) Outcome {
	outcome := Outcome{
		Offset:         result.Offset,
		Accepted:       result.Accepted,
		RejectedShards: result.RejectedIndexes(),
	}
	if result.Conflict != nil {
		outcome.Conflict = result.Conflict.Error()
	}
	return outcome
}

// partialOutcome returns the outcome of the assignments in [first, next).
func partialOutcome(result state.Result, first, next int) Outcome {
	outcome := Outcome{Offset: result.Offset}
	for _, rejection := range result.Rejected {
		if rejection.Index < first || rejection.Index >= next {
			continue
		}
		if outcome.Conflict == "" {
			outcome.Conflict = rejection.Conflict.Error()
		}
		outcome.RejectedShards = append(outcome.RejectedShards, rejection.Index-first)
	}
	outcome.Accepted = len(outcome.RejectedShards) < next-first
	if outcome.Accepted {
		outcome.Conflict = ""
	}
	return outcome
}
