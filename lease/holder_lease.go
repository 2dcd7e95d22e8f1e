package lease

import (
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// maxTTL bounds the TTL in a lease request, so that an invalid value cannot
// extend a server's ownership indefinitely.
const maxTTL = time.Hour

// Lease processes a renewal. The reply's Refused is empty when the lease was
// renewed, or when the request asked for a stamp only.
//
// A term below the highest one seen is refused. A grant list replaces the current
// one only if it is newer: of a higher term, or of a higher generation in the
// same term. A request never shortens the lease; a shard is revoked by a list
// that does not contain it.
func (h *Holder) Lease(now time.Duration, req serverapi.LeaseRequest) serverapi.LeaseReply {
	parsed, valid := parseLease(req)
	if !valid {
		return h.reply(now, serverapi.RefusedMalformed, true)
	}
	if refused := h.acceptTerm(parsed.term, req.Lessor); refused != "" {
		return h.reply(now, refused, true)
	}
	if req.Boot == "" {
		return h.reply(now, "", true)
	}
	if req.Boot != h.boot {
		return h.reply(now, serverapi.RefusedBoot, true)
	}
	if time.Duration(req.Echo) > now {
		// This incarnation cannot have issued a stamp of the future.
		return h.reply(now, serverapi.RefusedMalformed, true)
	}
	if refused := h.replaceList(parsed, req); refused != "" {
		return h.reply(now, refused, true)
	}
	if !h.Valid(now) {
		h.period++
	}
	h.expires = max(h.expires, time.Duration(req.Echo)+parsed.ttl)
	return h.reply(now, "", req.Full || req.WantActive)
}

// Acknowledge makes the holder refuse every term below the request's from now
// on. A current lease stays valid until it expires.
func (h *Holder) Acknowledge(now time.Duration, req serverapi.AcknowledgeRequest) serverapi.LeaseReply {
	term, err := topo.ParseTerm(req.Term)
	if err != nil {
		return h.reply(now, serverapi.RefusedMalformed, true)
	}
	if term.Less(h.highest) {
		return h.reply(now, serverapi.RefusedStaleTerm, true)
	}
	h.raiseTerm(term)
	return h.reply(now, "", true)
}

// RefuseOtherServer answers a call that names a server other than the one that the
// caller has reached. The holder's state does not change, because the term belongs
// to the lessor of another server.
func (h *Holder) RefuseOtherServer(now time.Duration) serverapi.LeaseReply {
	return h.reply(now, serverapi.RefusedServer, true)
}

// acceptTerm accepts the term of a lessor, or returns the reason for refusing it.
func (h *Holder) acceptTerm(term topo.Term, lessor string) string {
	if term.Less(h.highest) {
		return serverapi.RefusedStaleTerm
	}
	h.raiseTerm(term)
	if h.lessor == "" {
		h.lessor = lessor
	}
	if h.lessor != lessor {
		return serverapi.RefusedLessor
	}
	return ""
}

func (h *Holder) raiseTerm(term topo.Term) {
	if h.highest.Less(term) {
		h.highest = term
		h.lessor = ""
	}
}

// replaceList replaces the grant list if the one in the request is newer. It returns
// the reason if it refuses the request.
func (h *Holder) replaceList(parsed parsedLease, req serverapi.LeaseRequest) string {
	newer := h.listTerm != parsed.term || req.Generation > h.generation
	switch {
	case !newer:
		return "" // a repeated or delayed renewal
	case !req.Full:
		return serverapi.RefusedGeneration
	}
	h.listTerm = parsed.term
	h.generation = req.Generation
	h.standby = fencesOf(parsed.standby)
	h.grants = map[topo.ShardID]grant{}
	for _, granted := range parsed.grants {
		h.addGrant(granted)
	}
	h.updateActive()
	return ""
}

// addGrant adds a grant unless a higher fence was granted for the shard before.
func (h *Holder) addGrant(granted parsedGrant) {
	if granted.fence.Less(h.highestFence[granted.shard]) {
		return
	}
	h.highestFence[granted.shard] = granted.fence
	h.grants[granted.shard] = grant{fence: granted.fence, except: granted.except}
	if granted.fence.Rank > 0 {
		h.activated[granted.shard] = granted.fence
	} else {
		delete(h.activated, granted.shard)
	}
}

// parsedLease has the parsed fields of a lease request.
type parsedLease struct {
	term    topo.Term
	ttl     time.Duration
	grants  []parsedGrant
	standby []parsedGrant
}

type parsedGrant struct {
	shard  topo.ShardID
	fence  topo.Fence
	except map[string]bool
}

// parseLease parses a lease request. valid is false if a field is malformed.
func parseLease(req serverapi.LeaseRequest) (parsed parsedLease, valid bool) {
	term, err := topo.ParseTerm(req.Term)
	if err != nil || term.IsZero() || req.Lessor == "" {
		return parsed, false
	}
	parsed.term = term
	if req.Boot == "" {
		return parsed, true
	}
	if req.TTLMs <= 0 || req.TTLMs > int64(maxTTL/time.Millisecond) {
		return parsed, false
	}
	if req.Generation == 0 || req.Echo < 0 {
		return parsed, false
	}
	parsed.ttl = time.Duration(req.TTLMs) * time.Millisecond
	if parsed.grants, valid = parseGrants(req.Grants); !valid {
		return parsed, false
	}
	parsed.standby, valid = parseGrants(req.Standby)
	return parsed, valid
}

func parseGrants(grants []serverapi.Grant) (parsed []parsedGrant, valid bool) {
	parsed = make([]parsedGrant, 0, len(grants))
	for _, text := range grants {
		shard, err := topo.ParseShardID(text.Shard)
		if err != nil {
			return nil, false
		}
		fence, err := topo.ParseFence(text.Fence)
		if err != nil || fence.IsZero() {
			return nil, false
		}
		parsed = append(parsed, parsedGrant{shard: shard, fence: fence, except: setOf(text.Except)})
	}
	return parsed, true
}

func setOf(keys []string) map[string]bool {
	if len(keys) == 0 {
		return nil
	}
	set := make(map[string]bool, len(keys))
	for _, key := range keys {
		set[key] = true
	}
	return set
}

func fencesOf(grants []parsedGrant) map[topo.ShardID]topo.Fence {
	fences := make(map[topo.ShardID]topo.Fence, len(grants))
	for _, granted := range grants {
		fences[granted.shard] = granted.fence
	}
	return fences
}
