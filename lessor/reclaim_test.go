package lessor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"
)

// TestReclaimResubmitsMoves covers a lessor that claims again while the record
// of a planned move is in flight. The record has no effect under the new term
// and its outcome is not reported any more. If the move were still treated as
// submitted, it would be neither resubmitted nor abandoned, and its shard would
// not be served.
func TestReclaimResubmitsMoves(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember(Config{MoveTimeout: 10 * time.Second})
	id := topo.ShardID{Service: "quotes", Index: 7}
	m.moves[id] = &move{Move: Move{Shard: id}, submitted: true}
	m.submit.undecided[id] = undecidedShard{number: m.submit.number}
	m.carryOver()
	g.Expect(m.moves[id].submitted).To(gomega.BeFalse())
	m.expireMoves(10 * time.Second)
	g.Expect(m.moves).To(gomega.BeEmpty())
}

// TestReclaimReportsCarriedActivations covers a lessor that claims again and carries its
// activated standby servers over until their records are written. If it reported only the
// mode of the new term, the next lessor would assume that none was activated since the
// settled term.
func TestReclaimReportsCarriedActivations(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember(Config{})
	m.term = topo.MakeTerm(20, 0)
	m.carryOver()
	g.Expect(m.disconnectedTerm.IsZero()).To(gomega.BeTrue())
	m.activated[topo.ShardID{Service: "quotes", Index: 7}] = &activation{}
	m.carryOver()
	g.Expect(m.disconnectedTerm).To(gomega.Equal(m.term))
}
