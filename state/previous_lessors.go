package state

import (
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// maxPreviousIncarnations limits the incarnations listed for a group. Nodes that
// suspect each other claim the term alternately, which makes many terms but few
// incarnations.
const maxPreviousIncarnations = 16

// PreviousLessors lists the incarnations of nodes that were lessor or standby lessor in
// earlier terms of a group and therefore may have renewed leases in them. It is
// immutable.
type PreviousLessors struct {
	Incarnations []PreviousIncarnation // ordered by latest term, the latest first
	// Since is the offset of the first term from which on no incarnation is
	// missing.
	Since topo.Offset
}

// PreviousIncarnation is one incarnation of a node with its latest terms as lessor and as
// standby lessor.
type PreviousIncarnation struct {
	Node        topo.NodeID
	Boot        topo.BootID
	LessorTerm  topo.Term // as the lessor; zero if never
	StandbyTerm topo.Term // as the standby lessor; zero if never
}

// LatestTerm returns the latest term in which the incarnation was lessor or standby
// lessor.
func (r PreviousIncarnation) LatestTerm() topo.Term {
	if r.LessorTerm.Less(r.StandbyTerm) {
		return r.StandbyTerm
	}
	return r.LessorTerm
}

// PreviousAfter returns the previous incarnations for the term that follows this
// one. settled means that the lessor has recorded in the log that every lease of
// the terms before its own has ended.
func (g Group) PreviousAfter(settled bool) *PreviousLessors {
	if g.Term.IsZero() {
		return nil
	}
	next := &PreviousLessors{Since: g.Term.Offset}
	next.Incarnations = append(next.Incarnations, PreviousIncarnation{Node: g.Lessor, Boot: g.LessorBoot, LessorTerm: g.Term})
	if g.Standby != "" {
		next.Incarnations = append(next.Incarnations, PreviousIncarnation{Node: g.Standby, Boot: g.StandbyBoot, StandbyTerm: g.Term})
	}
	if g.Previous != nil && !settled {
		next.addEarlier(g.Previous)
	}
	return next
}

// addEarlier adds the incarnations of the earlier terms, up to
// maxPreviousIncarnations.
func (f *PreviousLessors) addEarlier(earlier *PreviousLessors) {
	f.Since = earlier.Since
	for _, entry := range earlier.Incarnations {
		if f.merge(entry) {
			continue
		}
		if len(f.Incarnations) == maxPreviousIncarnations {
			f.Since = max(f.Since, entry.LatestTerm().Offset+1)
			continue
		}
		f.Incarnations = append(f.Incarnations, entry)
	}
}

// merge adds the earlier terms of an incarnation that is already listed and
// reports whether it is listed.
func (f *PreviousLessors) merge(earlier PreviousIncarnation) bool {
	for i := range f.Incarnations {
		entry := &f.Incarnations[i]
		if entry.Node != earlier.Node || entry.Boot != earlier.Boot {
			continue
		}
		if entry.LessorTerm.IsZero() {
			entry.LessorTerm = earlier.LessorTerm
		}
		if entry.StandbyTerm.IsZero() {
			entry.StandbyTerm = earlier.StandbyTerm
		}
		return true
	}
	return false
}

func previousToProto(previous *PreviousLessors) (runs []*bspb.FormerRun, since uint64) {
	if previous == nil {
		return nil, 0
	}
	for _, run := range previous.Incarnations {
		runs = append(runs, &bspb.FormerRun{
			Node:    string(run.Node),
			Boot:    string(run.Boot),
			Led:     optionalOrdinal(run.LessorTerm),
			StoodBy: optionalOrdinal(run.StandbyTerm),
		})
	}
	return runs, uint64(previous.Since)
}

func optionalOrdinal(t topo.Term) *bspb.Ordinal {
	if t.IsZero() {
		return nil
	}
	return ordinalToProto(t.Ordinal)
}

func previousFromProto(runs []*bspb.FormerRun, since uint64) *PreviousLessors {
	if since == 0 {
		return nil
	}
	previous := &PreviousLessors{Since: topo.Offset(since)}
	for _, run := range runs {
		previous.Incarnations = append(previous.Incarnations, PreviousIncarnation{
			Node:        topo.NodeID(run.GetNode()),
			Boot:        topo.BootID(run.GetBoot()),
			LessorTerm:  termFromProto(run.GetLed()),
			StandbyTerm: termFromProto(run.GetStoodBy()),
		})
	}
	return previous
}
