package state

import (
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// formerMost is how many earlier terms of a group are kept. More follow each
// other without one that settled only while nodes suspect each other all the
// time.
const formerMost = 8

// Former is an earlier term of a group, and those who may have renewed leases in
// it. It is immutable.
type Former struct {
	Term        topo.Term
	Lessor      topo.NodeID
	LessorBoot  topo.BootID
	Standby     topo.NodeID // may be empty
	StandbyBoot topo.BootID
	// Earlier is the term before; nil for the group's first one, beyond the
	// limit, and where the lessor told the log that all leases before ended.
	Earlier *Former
}

// formerAfter returns the earlier terms of the term that follows the group's.
func formerAfter(current Group, settled bool) *Former {
	if current.Term.IsZero() {
		return nil
	}
	latest := &Former{
		Term:        current.Term,
		Lessor:      current.Lessor,
		LessorBoot:  current.LessorBoot,
		Standby:     current.Standby,
		StandbyBoot: current.StandbyBoot,
	}
	if !settled {
		latest.Earlier = current.Former.first(formerMost - 1)
	}
	return latest
}

// first returns at most so many terms.
func (f *Former) first(most int) *Former {
	if f == nil || most == 0 {
		return nil
	}
	kept := *f
	kept.Earlier = f.Earlier.first(most - 1)
	return &kept
}

func formerToProto(f *Former) []*bspb.FormerTerm {
	var entries []*bspb.FormerTerm
	for ; f != nil; f = f.Earlier {
		entries = append(entries, &bspb.FormerTerm{
			Term:        ordinalToProto(f.Term.Ordinal),
			Lessor:      string(f.Lessor),
			LessorBoot:  string(f.LessorBoot),
			Standby:     string(f.Standby),
			StandbyBoot: string(f.StandbyBoot),
		})
	}
	return entries
}

func formerFromProto(entries []*bspb.FormerTerm) *Former {
	if len(entries) == 0 {
		return nil
	}
	entry := entries[0]
	return &Former{
		Term:        termFromProto(entry.GetTerm()),
		Lessor:      topo.NodeID(entry.GetLessor()),
		LessorBoot:  topo.BootID(entry.GetLessorBoot()),
		Standby:     topo.NodeID(entry.GetStandby()),
		StandbyBoot: topo.BootID(entry.GetStandbyBoot()),
		Earlier:     formerFromProto(entries[1:]),
	}
}
