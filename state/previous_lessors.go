package state

import (
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// maxPreviousIncarnations limits the incarnations listed for a group. Nodes that
// suspect each other claim the term alternately, which makes many terms but few
// incarnations.
const maxPreviousIncarnations = 16

// Former lists the incarnations of nodes that were lessor or standby lessor in
// earlier terms of a group and therefore may have renewed leases in them. It is
// immutable.
type Former struct {
	Runs []FormerRun // ordered by latest term, the latest first
	// Since is the offset of the first term from which on no incarnation is
	// missing.
	Since topo.Offset
}

// FormerRun is one incarnation of a node with its latest terms as lessor and as
// standby lessor.
type FormerRun struct {
	Node    topo.NodeID
	Boot    topo.BootID
	Led     topo.Term // as the lessor; zero if never
	StoodBy topo.Term // as the standby lessor; zero if never
}

// Latest returns the latest term in which the incarnation was lessor or standby
// lessor.
func (r FormerRun) Latest() topo.Term {
	if r.Led.Less(r.StoodBy) {
		return r.StoodBy
	}
	return r.Led
}

// FormerAfter returns the previous incarnations for the term that follows this
// one. settled means that the lessor has recorded in the log that every lease of
// the terms before its own has ended.
func (g Group) FormerAfter(settled bool) *Former {
	if g.Term.IsZero() {
		return nil
	}
	next := &Former{Since: g.Term.Offset}
	next.Runs = append(next.Runs, FormerRun{Node: g.Lessor, Boot: g.LessorBoot, Led: g.Term})
	if g.Standby != "" {
		next.Runs = append(next.Runs, FormerRun{Node: g.Standby, Boot: g.StandbyBoot, StoodBy: g.Term})
	}
	if g.Former != nil && !settled {
		next.addEarlier(g.Former)
	}
	return next
}

// addEarlier adds the incarnations of the earlier terms, up to
// maxPreviousIncarnations.
func (f *Former) addEarlier(earlier *Former) {
	f.Since = earlier.Since
	for _, entry := range earlier.Runs {
		if f.merge(entry) {
			continue
		}
		if len(f.Runs) == maxPreviousIncarnations {
			f.Since = max(f.Since, entry.Latest().Offset+1)
			continue
		}
		f.Runs = append(f.Runs, entry)
	}
}

// merge adds the earlier terms of an incarnation that is already listed and
// reports whether it is listed.
func (f *Former) merge(earlier FormerRun) bool {
	for i := range f.Runs {
		entry := &f.Runs[i]
		if entry.Node != earlier.Node || entry.Boot != earlier.Boot {
			continue
		}
		if entry.Led.IsZero() {
			entry.Led = earlier.Led
		}
		if entry.StoodBy.IsZero() {
			entry.StoodBy = earlier.StoodBy
		}
		return true
	}
	return false
}

func previousToProto(previous *Former) (runs []*bspb.FormerRun, since uint64) {
	if previous == nil {
		return nil, 0
	}
	for _, run := range previous.Runs {
		runs = append(runs, &bspb.FormerRun{
			Node:    string(run.Node),
			Boot:    string(run.Boot),
			Led:     optionalOrdinal(run.Led),
			StoodBy: optionalOrdinal(run.StoodBy),
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

func previousFromProto(runs []*bspb.FormerRun, since uint64) *Former {
	if since == 0 {
		return nil
	}
	previous := &Former{Since: topo.Offset(since)}
	for _, run := range runs {
		previous.Runs = append(previous.Runs, FormerRun{
			Node:    topo.NodeID(run.GetNode()),
			Boot:    topo.BootID(run.GetBoot()),
			Led:     termFromProto(run.GetLed()),
			StoodBy: termFromProto(run.GetStoodBy()),
		})
	}
	return previous
}
