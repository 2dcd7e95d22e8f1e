package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// former tracks the incarnations that may have renewed leases in earlier terms, and
// their replies that they have stopped. An incarnation that has seen a later term
// never again renews a lease under an earlier one.
//
// Replies are needed only from the incarnations since a settled term, because the
// lessor of that term knew that no earlier one could renew. The slices are never
// modified in place, so that a copy of the struct is independent.
type former struct {
	incarnations []state.PreviousIncarnation // ordered by their latest terms, the latest first
	// since is the offset of the first term from which the list is complete.
	since topo.Offset
	// settled is the latest term known to be settled: every lease of earlier
	// terms has ended.
	settled    topo.Offset
	superseded supersessions
	replies    []stopReply
	askedAt    moment // time of the latest question
}

// stopReply is the reply of one incarnation, or what this incarnation knows of
// itself.
type stopReply struct {
	incarnation Incarnation
	// at is the arrival time of the reply; the incarnation had stopped by then.
	at time.Duration
	// settled is the latest term that the incarnation knows to be settled.
	settled topo.Term
	// disconnected is the latest term in which the incarnation, as the lessor,
	// asked for disconnected mode, if it reports that.
	disconnected topo.Term
	reportsMode  bool
	// askedStandbys are the standby lessors that the incarnation asked for
	// disconnected mode, if it reports them.
	askedStandbys   []AskedStandby
	reportsStandbys bool
}

// mayHaveAsked reports whether the incarnation may have asked a standby lessor for
// disconnected mode in a term at or after an offset.
func (r stopReply) mayHaveAsked(standby Incarnation, since topo.Offset) bool {
	if r.reportsStandbys {
		return wasAsked(r.askedStandbys, standby, since)
	}
	return !r.reportsMode || r.disconnected.Offset >= since
}

// formerOf returns the lessors of the group's earlier terms. Earlier parts of
// this incarnation have ended.
func (m *Member) formerOf(now time.Duration) former {
	group := m.facts.Group
	f := former{since: group.Term.Offset, settled: group.EarliestActiveTerm, superseded: m.superseded}
	if group.Previous != nil {
		f.incarnations, f.since = group.Previous.Incarnations, group.Previous.Since
	}
	f.record(stopReply{
		incarnation:     m.self(),
		at:              now,
		settled:         m.settledTerm,
		disconnected:    m.disconnectedTerm,
		reportsMode:     true,
		askedStandbys:   m.askedStandbys.list,
		reportsStandbys: !m.askedStandbys.isPartial,
	})
	return f
}

func incarnationOf(r state.PreviousIncarnation) Incarnation {
	return Incarnation{Node: r.Node, Boot: r.Boot}
}

// recordFormerReply records the reply of a node that may be a previous lessor.
func (m *Member) recordFormerReply(now time.Duration, reply HeartbeatReply) {
	if reply.HighestTerm.Less(m.term) && !m.rules.noSeenTerm {
		return
	}
	stop := stopReply{
		incarnation:     reply.From,
		at:              now,
		settled:         reply.SettledTerm,
		disconnected:    reply.DisconnectedTerm,
		reportsMode:     reply.ReportsMode,
		askedStandbys:   reply.AskedStandbys,
		reportsStandbys: reply.ReportsStandbys,
	}
	if !stop.settled.Less(m.term) {
		stop.settled = topo.Term{} // the replying node has adopted this node's term
	}
	m.takeover.former.record(stop)
}

// record keeps the first reply of each incarnation that is asked for one.
func (f *former) record(reply stopReply) {
	listed := func(r state.PreviousIncarnation) bool { return incarnationOf(r) == reply.incarnation }
	if _, known := f.reply(reply.incarnation); known || !slices.ContainsFunc(f.incarnations, listed) {
		return
	}
	f.replies = append(slices.Clip(f.replies), reply)
	f.settled = max(f.settled, reply.settled.Offset)
}

func (f *former) reply(run Incarnation) (stopReply, bool) {
	i := slices.IndexFunc(f.replies, func(w stopReply) bool { return w.incarnation == run })
	if i < 0 {
		return stopReply{}, false
	}
	return f.replies[i], true
}

// needed returns the incarnations whose replies are needed: all since the latest
// settled term.
func (f *former) needed(r rules) []state.PreviousIncarnation {
	settled := f.settled
	if r.noSettledReply && len(f.incarnations) > 0 {
		settled = f.incarnations[0].LatestTerm().Offset
	}
	count := 0
	for count < len(f.incarnations) && f.incarnations[count].LatestTerm().Offset >= settled {
		count++
	}
	return f.incarnations[:count]
}

// complete reports whether the list contains every incarnation since the latest
// settled term.
func (f *former) complete(r rules) bool { return f.settled >= f.since || r.noComplete }

// stopBounds bounds how long a previous incarnation that does not reply may
// continue.
type stopBounds struct {
	sinceSuperseded limit         // after its term was superseded, if others may support it
	sinceSupport    time.Duration // after its last log contact or the last promise of a standby lessor
}

// rightEnd returns when the right of all previous lessors to renew leases has
// certainly ended, by their replies or by their timeouts; never if one of them may
// continue without limit.
func (f *former) rightEnd(limits stopBounds, r rules) moment {
	if f.since == 0 {
		return moment{} // the previous incarnations are not known
	}
	end := momentAt(0)
	complete := f.complete(r)
	if !complete {
		end = limits.sinceSuperseded.endAfter(f.superseded.unlisted)
	}
	replies, missing := f.split(f.needed(r), r)
	for _, reply := range replies {
		end = end.latest(momentAt(reply.at))
	}
	alone := complete && (len(missing) == 1 || r.noSingleMissing)
	for _, run := range missing {
		one := limits.sinceSuperseded.endAfter(f.superseded.at(run))
		if alone {
			one = one.earlier(f.unresponsiveEnd(run, replies, limits, r))
		}
		end = end.latest(one)
	}
	return end
}

// split returns the replies of the needed incarnations, and the incarnations
// without a reply.
func (f *former) split(needed []state.PreviousIncarnation, r rules) (replies []stopReply, missing []state.PreviousIncarnation) {
	for _, run := range needed {
		reply, known := f.reply(incarnationOf(run))
		switch {
		case known:
			replies = append(replies, reply)
		case r.noStandbyReply && run.LessorTerm.Offset < f.settled:
		default:
			missing = append(missing, run)
		}
	}
	return replies, missing
}

// unresponsiveEnd returns when the right of the only incarnation without a reply has
// ended, as far as the replies of the others bound it. If no lessor asked it for
// disconnected mode, it has not taken over as the standby lessor; and as the lessor it
// gets no further promise.
func (f *former) unresponsiveEnd(run state.PreviousIncarnation, replies []stopReply, limits stopBounds, r rules) moment {
	if run.StandbyTerm.Offset >= f.settled && f.mayHaveBeenAsked(run, r) && !r.noConnected && !r.noSingleMissing {
		return moment{}
	}
	if run.LessorTerm.Offset < f.settled {
		return momentAt(0)
	}
	supported := f.superseded.at(run)
	for _, reply := range replies {
		supported = max(supported, reply.at)
	}
	if r.noPromise {
		return momentAt(supported)
	}
	return momentAt(supported + limits.sinceSupport)
}

// mayHaveBeenAsked reports whether a lessor since the latest settled term may have asked
// a standby lessor for disconnected mode. A standby lessor that was not asked does not
// take over without the log.
func (f *former) mayHaveBeenAsked(standby state.PreviousIncarnation, r rules) bool {
	return slices.ContainsFunc(f.needed(r), func(run state.PreviousIncarnation) bool {
		if run.LessorTerm.Offset < f.settled || run == standby {
			return false
		}
		reply, replied := f.reply(incarnationOf(run))
		return !replied || reply.mayHaveAsked(incarnationOf(standby), f.settled)
	})
}

// stayedConnected reports whether no lessor since the latest settled term has asked for
// disconnected mode, without which no standby server is activated.
func (f *former) stayedConnected(r rules) bool {
	if f.since == 0 || !f.complete(r) {
		return false
	}
	return !slices.ContainsFunc(f.needed(r), func(run state.PreviousIncarnation) bool {
		if run.LessorTerm.Offset < f.settled {
			return false
		}
		reply, replied := f.reply(incarnationOf(run))
		return !replied || !reply.reportsMode || reply.disconnected.Offset >= f.settled
	})
}

// nodesToAsk returns the nodes whose replies are missing.
func (f *former) nodesToAsk(self Incarnation) []topo.NodeID {
	var nodes []topo.NodeID
	for _, needed := range f.needed(rules{}) {
		run := incarnationOf(needed)
		_, replied := f.reply(run)
		if run != self && !replied && !slices.Contains(nodes, run.Node) {
			nodes = append(nodes, run.Node)
		}
	}
	return nodes
}
