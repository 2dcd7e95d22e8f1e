package lessor

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// keyWriter writes the part of a world that determines its future. Times are
// written relative to now, and are capped where they no longer make a
// difference. Numbers that only increase are written as their rank among the
// numbers that they are compared with.
type keyWriter struct {
	w   *world
	buf []byte
}

type worldKey [2]uint64

func (w *world) key() worldKey {
	k := &keyWriter{w: w, buf: make([]byte, 0, 512)}
	k.log()
	for i := range w.nodes {
		k.node(i)
	}
	for i := range w.servers {
		k.server(i)
	}
	k.message()
	return worldKey{xxhash.Sum64(k.buf), xxhash.Sum64(append(k.buf, 1))}
}

func (k *keyWriter) num(n int) { k.buf = append(k.buf, byte(n), byte(n>>8)) }

func (k *keyWriter) flag(b bool) { k.num(boolRank(b)) }

func (k *keyWriter) text(s string) {
	k.buf = append(k.buf, s...)
	k.buf = append(k.buf, 0)
}

func (k *keyWriter) ordinal(o topo.Ordinal) { k.num(int(o.Offset)<<1 | int(o.Rank)) }

// age writes the time since a moment, capped at most.
func (k *keyWriter) age(m moment, most time.Duration) {
	if !m.set {
		k.num(-1)
		return
	}
	k.num(int(min(k.w.now-m.at, most) / timeUnit))
}

// remaining writes the time until a future moment.
func (k *keyWriter) remaining(at time.Duration) { k.num(int(max(0, at-k.w.now) / timeUnit)) }

// rank writes the rank of n among the given numbers.
func (k *keyWriter) rank(n uint64, among ...uint64) {
	slices.Sort(among)
	k.num(slices.Index(slices.Compact(among), n))
}

func (k *keyWriter) log() {
	l := k.w.log
	k.num(int(l.next))
	k.ordinal(l.term.Ordinal)
	k.text(string(l.lessor.Boot))
	k.text(string(l.standby.Boot))
	k.ordinal(l.fence.Ordinal)
	k.text(string(l.owner))
	k.text(string(l.ownerBoot))
	k.text(string(l.standbyServer))
	k.num(l.claims)
	k.num(l.assigns)
	k.num(int(l.heldSince))
	k.num(int(l.since))
	for _, run := range l.former {
		k.formerRun(run)
	}
}

func (k *keyWriter) node(i int) {
	n := &k.w.nodes[i]
	m := n.member
	ttl, limit := k.w.b.ttl, k.w.b.limit
	k.num(n.boots)
	k.num(int(n.submitted))
	k.num(int(m.facts.Applied))
	k.num(int(m.role))
	k.flag(m.offLog)
	k.ordinal(m.term.Ordinal)
	if m.role != RoleNone || k.w.b.relay {
		k.age(m.contact, max(limit, ttl))
	}
	k.flag(m.claim.inFlight)
	k.flag(m.claim.maybeWritten)
	k.ordinal(m.settledTerm.Ordinal)
	k.ordinal(m.disconnectedTerm.Ordinal)
	k.askedStandbys(m.askedStandbys.list)
	for _, run := range m.unresponsive {
		k.text(string(run.Boot))
	}
	if k.mayWaitForPrevious(i) {
		k.superseded(m)
	}
	if m.role == RoleStandby && !k.termUnusable(m.term.Standby()) {
		k.standbyState(m)
	}
	if m.role == RoleLessor && !k.termUnusable(m.term) && !k.cannotRenew(m) {
		k.lessor(i, m)
	}
}

func (k *keyWriter) askedStandbys(list []AskedStandby) {
	k.num(len(list))
	for _, asked := range list {
		k.text(string(asked.Run.Boot))
		k.ordinal(asked.Term.Ordinal)
	}
}

// mayWaitForPrevious reports whether a node waits for previous lessors, or may have to
// later.
func (k *keyWriter) mayWaitForPrevious(node int) bool {
	m := k.w.nodes[node].member
	if m.asksForAcknowledgement() || m.claim.pending() || k.w.heldMessage != nil {
		return true
	}
	return k.w.log.claims < k.w.b.claims && strings.Contains(k.w.b.claimers, string(nodeNames[node]))
}

// superseded writes the times at which the terms of previous incarnations were
// first seen to have ended.
func (k *keyWriter) superseded(m *Member) {
	most := max(k.w.b.ttl, k.w.b.limit) + k.w.b.ttl
	k.age(momentAt(m.superseded.unlisted), most)
	if m.facts.Group.Previous == nil {
		return
	}
	for _, run := range m.facts.Group.Previous.Incarnations {
		k.age(momentAt(m.superseded.at(run)), most)
	}
}

// cannotRenew reports whether a lessor has no right to renew, and could get one only
// by a promise that its standby lessor will never give again.
func (k *keyWriter) cannotRenew(m *Member) bool {
	if m.offLog || m.right.mode == ModeConnected || k.w.b.rules.noModes || k.w.heldMessage != nil {
		return false
	}
	if m.right.promise.fresher(k.w.now, k.w.b.ttl) {
		return false
	}
	for i := range k.w.nodes {
		other := k.w.nodes[i].member
		if other.self() == m.standbyIncarnation() {
			return other.role != RoleStandby || other.facts.Group.Term != m.term
		}
	}
	return true
}

// termUnusable reports whether every server permanently rejects a term, and the
// log accepts no record under it.
func (k *keyWriter) termUnusable(term topo.Term) bool {
	return k.refusedForGood(0, term) && k.refusedForGood(1, term)
}

// refusedForGood reports whether a server rejects a term and cannot lose the
// higher one, and the log accepts no record under the term either.
func (k *keyWriter) refusedForGood(server int, term topo.Term) bool {
	if k.w.log.term == term || k.w.log.term.Standby() == term {
		return false
	}
	s := &k.w.servers[server]
	return s.restarts >= k.w.b.restarts && term.Less(s.holder.State().Highest)
}

func (k *keyWriter) standbyState(m *Member) {
	s := &m.standbyState
	k.reportedOffLog(s)
	k.remaining(s.promisedUntil.at)
	k.num(int(s.mode))
	k.rank(s.modeRound, k.modeRounds()...)
	k.flag(s.settled)
}

func (k *keyWriter) reportedOffLog(s *standbyState) {
	k.num(int(s.activated[searchShard]))
	k.num(int(s.undecided[searchShard]))
}

// modeRounds returns every mode round that may still be compared.
func (k *keyWriter) modeRounds() []uint64 {
	var rounds []uint64
	for i := range k.w.nodes {
		m := k.w.nodes[i].member
		rounds = append(rounds, m.right.round, m.standbyState.modeRound)
	}
	if k.w.heldMessage != nil {
		rounds = append(rounds, k.w.heldMessage.heartbeat.ModeRound, k.w.heldMessage.answer.ModeRound)
	}
	return rounds
}

func (k *keyWriter) lessor(node int, m *Member) {
	ttl := k.w.b.ttl
	k.age(m.right.promise, ttl)
	k.num(int(m.right.mode))
	k.num(int(m.right.asked))
	k.rank(m.right.round, k.modeRounds()...)
	k.flag(m.right.acked)
	k.num(int(m.takeover.basis))
	k.num(int(min(m.takeover.before, 1<<14)))
	k.remaining(m.leaseEnd(m.facts.Shards[searchShard].Policy).at)
	k.former(m)
	k.reportedOffLog(&m.takeover.fromLessor)
	k.flag(m.isSettled(m.facts.Shards[searchShard]))
	if n, needed := m.needs[searchShard]; needed {
		k.text(string(n.to))
		k.flag(n.wasActive)
	}
	if a, active := m.activated[searchShard]; active {
		k.text(string(a.boot))
		k.flag(a.granted)
		k.rank(a.reportedRound, a.reportedRound, m.heartbeats.round, k.heldRound())
	}
	if mv, moving := m.moves[searchShard]; moving {
		k.text(string(mv.To))
		k.flag(mv.submitted)
	}
	k.flag(m.submit.inFlight)
	k.num(int(m.submit.visible))
	if d, undecided := m.submit.undecided[searchShard]; undecided {
		k.ordinal(d.expected.Ordinal)
		k.flag(d.unknown)
	}
	for s := range serverNames {
		k.granter(node, s, m, m.servers[serverNames[s]])
	}
}

// former writes the incarnations whose replies may shorten the wait, and the
// replies received.
func (k *keyWriter) former(m *Member) {
	if !m.asksForAcknowledgement() {
		return
	}
	f := &m.takeover.former
	k.num(int(f.since))
	k.num(int(f.settled))
	k.num(len(f.incarnations))
	for _, run := range f.incarnations {
		k.formerRun(run)
		reply, replied := f.reply(incarnationOf(run))
		k.flag(replied)
		if replied {
			k.ordinal(reply.disconnected.Ordinal)
			k.askedStandbys(reply.askedStandbys)
		}
	}
}

func (k *keyWriter) formerRun(run state.PreviousIncarnation) {
	k.text(string(run.Boot))
	k.ordinal(run.LessorTerm.Ordinal)
	k.ordinal(run.StandbyTerm.Ordinal)
}

func (k *keyWriter) heldRound() uint64 {
	if k.w.heldMessage == nil {
		return 0
	}
	return max(k.w.heldMessage.heartbeat.Round, k.w.heldMessage.answer.Round)
}

func (k *keyWriter) granter(node, server int, m *Member, s *server) {
	if s == nil {
		k.num(-2)
		return
	}
	if k.refusedForGood(server, m.term) {
		k.num(-3)
		return
	}
	ttl := k.w.b.ttl
	g := s.granter.State()
	k.text(string(g.Boot))
	// A stamp that is too old to be echoed makes no difference.
	stampAge := k.w.now - fromWall(g.StampAt)
	k.num(int(min(stampAge, ttl) / timeUnit))
	if stampAge < ttl {
		k.num(int((k.w.serverNow(server) - time.Duration(g.Stamp)) / timeUnit))
	}
	k.remaining(fromWall(g.Until))
	k.remaining(s.earlierLeasesEnd)
	k.flag(s.bootSeenAt <= m.contact.at)
	k.flag(s.inFlight)
	if s.inFlight {
		k.num(int(min(k.w.now-s.sentAt, k.w.b.limit) / timeUnit))
	}
	if !m.isSettled(m.facts.Shards[searchShard]) || len(m.needs) > 0 || len(m.activated) > 0 {
		k.flag(s.acked)
		k.ordinal(s.active[searchShard].Ordinal)
	}
	generations := k.generations(node, server)
	k.rank(s.generation, generations...)
	k.rank(s.reported, generations...)
	k.rank(s.revoked[searchShard], generations...)
	for _, grant := range s.list {
		k.ordinal(grant.Fence.Ordinal)
	}
}

// generations returns the list generations of one lessor and server that may
// still be compared.
func (k *keyWriter) generations(node, server int) []uint64 {
	list := []uint64{0, 1}
	if s := k.w.nodes[node].member.servers[serverNames[server]]; s != nil {
		list = append(list, s.generation, s.reported, s.revoked[searchShard])
	}
	list = append(list, k.w.servers[server].holder.State().Generation)
	if h := k.w.heldMessage; h != nil && h.server == server {
		list = append(list, h.order.Generation, h.report.Generation)
	}
	return list
}

func (k *keyWriter) server(i int) {
	s := &k.w.servers[i]
	h := s.holder.State()
	now := k.w.serverNow(i)
	k.num(s.restarts)
	k.ordinal(h.Highest.Ordinal)
	k.text(h.Lessor)
	k.num(int(max(0, h.Expires-now) / timeUnit))
	k.ordinal(h.ListTerm.Ordinal)
	k.rank(h.Generation, k.allGenerations(i)...)
	k.ordinal(h.HighestFence[searchShard].Ordinal)
	k.ordinal(h.Activated[searchShard].Ordinal)
	for _, grant := range s.holder.Grants() {
		k.ordinal(grant.Fence.Ordinal)
	}
}

func (k *keyWriter) allGenerations(server int) []uint64 {
	var list []uint64
	for node := range k.w.nodes {
		list = append(list, k.generations(node, server)...)
	}
	return list
}

func (k *keyWriter) message() {
	h := k.w.heldMessage
	if h == nil {
		return
	}
	k.text(h.kind)
	k.num(h.node)
	k.num(h.server)
	switch h.kind {
	case "renew":
		k.order(h)
	case "renewed":
		k.report(h)
	case "beat":
		k.num(int(h.heartbeat.Mode))
		k.rank(h.heartbeat.ModeRound, k.modeRounds()...)
		k.flag(h.heartbeat.Settled)
		k.num(int(h.heartbeat.Applied))
		k.num(len(h.heartbeat.Activated))
		k.num(len(h.heartbeat.Undecided))
		k.ordinal(h.heartbeat.Term.Ordinal)
		k.age(momentAt(k.w.nodes[h.node].member.heartbeats.sent[h.heartbeat.Round]), k.w.b.ttl)
	case "answer":
		k.text(string(h.answer.From.Boot))
		k.ordinal(h.answer.HighestTerm.Ordinal)
		k.ordinal(h.answer.SettledTerm.Ordinal)
		k.ordinal(h.answer.DisconnectedTerm.Ordinal)
		k.askedStandbys(h.answer.AskedStandbys)
		k.flag(h.answer.Promised)
		k.num(int(h.answer.Mode))
		k.rank(h.answer.ModeRound, k.modeRounds()...)
		k.ordinal(h.answer.Term.Ordinal)
		k.age(momentAt(k.w.nodes[h.node].member.heartbeats.sent[h.answer.Round]), k.w.b.ttl)
	case "record":
		k.record(h.record)
	}
}

func (k *keyWriter) order(h *message) {
	o := h.order
	k.ordinal(o.Term.Ordinal)
	k.text(string(o.Boot))
	echoAge := k.w.serverNow(h.server) - time.Duration(o.Echo)
	k.num(int(min(echoAge, k.w.b.ttl) / timeUnit))
	k.rank(o.Generation, k.generations(h.node, h.server)...)
	k.flag(o.Full)
	for _, grant := range o.Grants {
		k.ordinal(grant.Fence.Ordinal)
	}
}

func (k *keyWriter) report(h *message) {
	r := h.report
	k.text(r.Refused)
	k.text(string(r.Boot))
	k.num(int((k.w.serverNow(h.server) - time.Duration(r.Stamp)) / timeUnit))
	k.ordinal(r.HighestTerm.Ordinal)
	k.rank(r.Generation, k.generations(h.node, h.server)...)
	k.num(int(r.Remaining / timeUnit))
	k.flag(r.HasActive)
	for _, grant := range r.Active {
		k.ordinal(grant.Fence.Ordinal)
	}
}

func (k *keyWriter) record(r record) {
	k.text(string(r.self.Boot))
	if r.claim != nil {
		k.ordinal(r.claim.Expected.Ordinal)
		k.text(string(r.claim.Standby.Boot))
		return
	}
	k.ordinal(r.submit.Term.Ordinal)
	for _, a := range r.submit.Assigns {
		k.ordinal(a.Expected.Ordinal)
		k.text(string(a.Owner))
		k.text(string(a.OwnerBoot))
		k.text(string(a.Standby))
	}
}
