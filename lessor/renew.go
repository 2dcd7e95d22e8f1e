package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// covers reports whether leases for a service may be renewed now.
func (m *Member) covers(now time.Duration, policy *Policy) bool {
	if m.role != RoleLessor {
		return false
	}
	limit := policy.MaxDisconnected
	if m.offLog {
		return limit == siteconfig.Forever || m.contact.fresher(now, limit)
	}
	return m.right.covers(now, m.contact, limit, m.cfg.Lease.TTL, m.rules)
}

// mayRenew reports whether any lease, including one without shards, may be
// renewed.
func (m *Member) mayRenew(now time.Duration) bool {
	if m.role != RoleLessor {
		return false
	}
	return m.offLog || m.right.byLog(now, m.contact, m.cfg.Lease.TTL, m.rules) ||
		m.right.promise.fresher(now, m.cfg.Lease.TTL)
}

// grantable reports whether a shard may currently be on its owner's list, as
// far as the shard is concerned.
func (m *Member) grantable(now time.Duration, shard Shard, boot topo.BootID) bool {
	if boot == "" || shard.OwnerBoot != boot {
		return false
	}
	if !m.isSettled(shard) || m.needsNewFence(shard.Shard) || m.isUndecided(shard.Shard) {
		return false
	}
	if _, active := m.activated[shard.Shard]; active {
		return false
	}
	if mv, moving := m.moves[shard.Shard]; moving && mv.revokes() {
		return false
	}
	return m.covers(now, shard.Policy)
}

// grantsFor returns the shards that an incarnation of a server may serve now.
func (m *Member) grantsFor(now time.Duration, id topo.ServerID, boot topo.BootID) []Grant {
	var grants []Grant
	for _, shardID := range m.facts.ShardsOf[id] {
		shard := m.facts.Shards[shardID]
		if m.grantable(now, shard, boot) {
			grants = append(grants, Grant{Shard: shardID, Fence: shard.Fence, Except: m.excepted(shard)})
		}
	}
	for _, shardID := range m.activatedOn(id) {
		a := m.activated[shardID]
		shard := m.facts.Shards[shardID]
		if a.granted && a.boot == boot && !m.isUndecided(shardID) && m.covers(now, shard.Policy) {
			grants = append(grants, Grant{Shard: shardID, Fence: a.fence.Standby(), Except: m.excepted(shard)})
		}
	}
	return grants
}

// excepted returns the keys that the owner of a hash range must reject: those
// split out, about to be split, or possibly split by a record whose outcome is
// unknown.
func (m *Member) excepted(shard Shard) []string {
	if shard.Shard.Key != "" {
		return nil
	}
	except := shard.Except
	for _, id := range m.pendingSplits() {
		if rangeOf(id) == shard.Shard && !slices.Contains(except, id.Key) {
			except = slices.Sorted(slices.Values(append(slices.Clone(except), id.Key)))
		}
	}
	return except
}

// BeginRenew returns the renewal to send to a server now; false if the right to
// renew has ended. A renewal without a known stamp requests one.
func (m *Member) BeginRenew(now time.Duration, id topo.ServerID) (LeaseOrder, bool) {
	if !m.mayRenew(now) {
		return LeaseOrder{}, false
	}
	s := m.server(id)
	order := LeaseOrder{Server: id, Attempt: m.begin(s, now), Term: m.term, TTL: m.cfg.Lease.TTL}
	boot, echo, known := s.granter.Renewal(wall(now))
	if !known {
		return order, true
	}
	s.setList(m.grantsFor(now, id, boot), m.facts.StandbyOf[id])
	order.Boot, order.Echo = boot, echo
	order.Generation = s.generation
	order.Full = s.reported < s.generation
	if order.Full {
		order.Grants, order.Standby = s.list, s.standby
	}
	return order, true
}

// BeginAcknowledge starts an acknowledgement request and returns the term and
// the number of the attempt.
func (m *Member) BeginAcknowledge(now time.Duration, id topo.ServerID) (topo.Term, uint64, bool) {
	if m.role != RoleLessor && !m.standbyState.probeServers {
		return topo.Term{}, 0, false
	}
	return m.term, m.begin(m.server(id), now), true
}

func (m *Member) begin(s *server, now time.Duration) uint64 {
	s.attempt++
	s.inFlight = true
	s.sentAt = now
	return s.attempt
}
