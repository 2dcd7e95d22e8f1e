package state

import (
	"strconv"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func (s *State) applyClaimTerm(offset topo.Offset, body *bspb.ClaimTerm) *Conflict {
	if conflict := validateClaim(body); conflict != nil {
		return conflict
	}
	id := topo.GroupID(body.GetGroup())
	current, exists := s.groups.get(id)
	if expected := termFromProto(body.GetExpected()); expected != current.Term {
		return &Conflict{
			Reason:   ReasonTerm,
			Subject:  body.GetGroup(),
			Expected: expected.String(),
			InForce:  current.Term.String(),
		}
	}
	if conflict := checkContinued(body, current); conflict != nil {
		return conflict
	}
	if conflict := checkSettled(body, current); conflict != nil {
		return conflict
	}
	heldSince := current.EarliestActiveTerm
	switch {
	case !exists:
		heldSince = offset
	case body.GetSettled():
		heldSince = current.Term.Offset
	}
	s.groups.set(id, Group{
		ID:                 id,
		Term:               topo.MakeTerm(offset, 0),
		Lessor:             topo.NodeID(body.GetNode()),
		LessorBoot:         topo.BootID(body.GetBoot()),
		Standby:            topo.NodeID(body.GetStandby()),
		StandbyBoot:        topo.BootID(body.GetStandbyBoot()),
		EarliestActiveTerm: heldSince,
		Previous:           current.PreviousAfter(body.GetSettled()),
	})
	s.pruneLostIncarnations()
	return nil
}

func validateClaim(body *bspb.ClaimTerm) *Conflict {
	if body.GetGroup() == "" || body.GetNode() == "" || body.GetBoot() == "" {
		return &Conflict{Reason: ReasonMalformed, Subject: "group, node or boot missing"}
	}
	if body.GetStandby() == body.GetNode() {
		return &Conflict{Reason: ReasonMalformed, Subject: "standby lessor is the lessor"}
	}
	return nil
}

// checkContinued accepts a continued term only from the standby lessor to which
// the current term allocated it.
func checkContinued(body *bspb.ClaimTerm, current Group) *Conflict {
	continued := termFromProto(body.GetContinued())
	if continued.IsZero() {
		return nil
	}
	if continued != current.Term.Standby() {
		return &Conflict{
			Reason:   ReasonTerm,
			Subject:  body.GetGroup(),
			Expected: continued.String(),
			InForce:  current.Term.Standby().String(),
		}
	}
	claimant := incarnation{node: topo.NodeID(body.GetNode()), boot: topo.BootID(body.GetBoot())}
	standby := incarnation{node: current.Standby, boot: current.StandbyBoot}
	if claimant != standby {
		return &Conflict{
			Reason:   ReasonStandby,
			Subject:  body.GetGroup(),
			Expected: incarnationText(claimant),
			InForce:  incarnationText(standby),
		}
	}
	return nil
}

// checkSettled accepts the statement that earlier leases have ended only from
// the lessor of the current term.
func checkSettled(body *bspb.ClaimTerm, current Group) *Conflict {
	if !body.GetSettled() {
		return nil
	}
	claimant := incarnation{node: topo.NodeID(body.GetNode()), boot: topo.BootID(body.GetBoot())}
	lessor := incarnation{node: current.Lessor, boot: current.LessorBoot}
	if claimant != lessor || !termFromProto(body.GetContinued()).IsZero() {
		return &Conflict{
			Reason:   ReasonTerm,
			Subject:  body.GetGroup(),
			Expected: incarnationText(claimant),
			InForce:  incarnationText(lessor),
		}
	}
	return nil
}

func termFromProto(o *bspb.Ordinal) topo.Term {
	return topo.MakeTerm(topo.Offset(o.GetOffset()), o.GetRank())
}

func fenceFromProto(o *bspb.Ordinal) topo.Fence {
	return topo.MakeFence(topo.Offset(o.GetOffset()), o.GetRank())
}

func ordinalToProto(o topo.Ordinal) *bspb.Ordinal {
	return &bspb.Ordinal{Offset: uint64(o.Offset), Rank: o.Rank}
}

func offsetText(offset topo.Offset) string { return strconv.FormatUint(uint64(offset), 10) }
