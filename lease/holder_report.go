package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Held is one grant in a Holder's report.
type Held struct {
	Shard  topo.ShardID
	Fence  topo.Fence
	Except []string // sorted
}

// Grants lists the grants that the server may serve while its lease is valid,
// sorted by shard.
func (h *Holder) Grants() []Held {
	held := make([]Held, 0, len(h.grants))
	for shard, granted := range h.grants {
		held = append(held, Held{Shard: shard, Fence: granted.fence, Except: sortedKeys(granted.except)})
	}
	slices.SortFunc(held, func(a, b Held) int { return strings.Compare(a.Shard.String(), b.Shard.String()) })
	return held
}

// Standby returns the fence under which the server is the standby of a shard. It
// returns false if the server is not the shard's standby.
func (h *Holder) Standby(shard topo.ShardID) (topo.Fence, bool) {
	fence, exists := h.standby[shard]
	return fence, exists
}

// updateActive recomputes active and digest: the current grants, and the standby
// grants that were activated earlier and not replaced by a higher fence.
func (h *Holder) updateActive() {
	var list []serverapi.Grant
	for _, held := range h.Grants() {
		list = append(list, serverapi.Grant{
			Shard:  held.Shard.String(),
			Fence:  held.Fence.String(),
			Except: held.Except,
		})
	}
	for _, shard := range h.revokedActivations() {
		list = append(list, serverapi.Grant{Shard: shard.String(), Fence: h.activated[shard].String()})
	}
	h.active = list
	h.digest = serverapi.GrantsDigest(list)
}

// revokedActivations lists the activated standby grants that are no longer
// granted.
func (h *Holder) revokedActivations() []topo.ShardID {
	var shards []topo.ShardID
	for shard, fence := range h.activated {
		if h.grants[shard].fence != fence {
			shards = append(shards, shard)
		}
	}
	slices.SortFunc(shards, func(a, b topo.ShardID) int { return strings.Compare(a.String(), b.String()) })
	return shards
}

// Orphan is a run in flight whose shard was revoked, or whose key was excepted
// from its shard, after the run began.
type Orphan struct {
	Shard topo.ShardID
	Fence topo.Fence
	Key   string
	// Expired is true if the lease has expired since the run began, so that the
	// lessor does not wait for the run.
	Expired bool
}

// Orphans lists the runs in flight whose grant was revoked.
func (h *Holder) Orphans() []Orphan {
	var orphans []Orphan
	for _, run := range h.runs {
		if h.problemWithGrant(run) == "" {
			continue
		}
		expired := run.period != h.period
		orphans = append(orphans, Orphan{Shard: run.shard, Fence: run.fence, Key: run.key, Expired: expired})
	}
	return orphans
}

// busy lists the shards that orphans still use: the key, as its split shard, and
// also the hash range unless only the key was excepted from it.
func (h *Holder) busy() []string {
	set := map[string]bool{}
	for _, orphan := range h.Orphans() {
		split := orphan.Shard
		split.Key = orphan.Key
		set[split.String()] = true
		held := h.grants[orphan.Shard]
		if held.fence != orphan.Fence || !held.except[orphan.Key] {
			set[orphan.Shard.String()] = true
		}
	}
	return sortedKeys(set)
}

// InFlight returns the number of runs that have begun and not ended.
func (h *Holder) InFlight() int { return len(h.runs) }

// Dump describes a holder for the state dump.
type Dump struct {
	Boot        topo.BootID
	HighestTerm string
	Lessor      string
	ListTerm    string
	Generation  uint64
	Expires     time.Duration // on the server's clock
	Now         time.Duration
	Grants      []serverapi.Grant // current, or activated earlier
	Busy        []string
	InFlight    int
	Draining    bool
}

// Dump returns the holder's state as of now.
func (h *Holder) Dump(now time.Duration) Dump {
	return Dump{
		Boot:        h.boot,
		HighestTerm: h.highest.String(),
		Lessor:      h.lessor,
		ListTerm:    h.listTerm.String(),
		Generation:  h.generation,
		Expires:     h.expires,
		Now:         now,
		Grants:      h.active,
		Busy:        h.busy(),
		InFlight:    len(h.runs),
		Draining:    h.draining,
	}
}

// sortedKeys returns the members of a set in order, or nil if it is empty.
func sortedKeys(set map[string]bool) []string {
	if len(set) == 0 {
		return nil
	}
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
