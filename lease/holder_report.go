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

// Grants lists what the server may serve while its lease is valid, in order of
// shard.
func (h *Holder) Grants() []Held {
	held := make([]Held, 0, len(h.grants))
	for shard, granted := range h.grants {
		held = append(held, Held{Shard: shard, Fence: granted.fence, Except: sortedKeys(granted.except)})
	}
	slices.SortFunc(held, func(a, b Held) int { return strings.Compare(a.Shard.String(), b.Shard.String()) })
	return held
}

// Standby returns the fence that the server was named the standby under; false
// when it is not the shard's standby.
func (h *Holder) Standby(shard topo.ShardID) (topo.Fence, bool) {
	fence, exists := h.standby[shard]
	return fence, exists
}

// describe makes the list of the grants held, and of the standby grants that
// were ever activated and not replaced by a higher fence, and its digest.
func (h *Holder) describe() {
	var list []serverapi.Grant
	for _, held := range h.Grants() {
		list = append(list, serverapi.Grant{
			Shard:  held.Shard.String(),
			Fence:  held.Fence.String(),
			Except: held.Except,
		})
	}
	for _, shard := range h.formerlyActivated() {
		list = append(list, serverapi.Grant{Shard: shard.String(), Fence: h.activated[shard].String()})
	}
	h.active = list
	h.digest = serverapi.GrantsDigest(list)
}

// formerlyActivated lists the activated standby grants that are not held now.
func (h *Holder) formerlyActivated() []topo.ShardID {
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
// from its shard, after it began.
type Orphan struct {
	Shard topo.ShardID
	Fence topo.Fence
	Key   string
	// Lapsed is true when the lease lapsed since it began, so that nobody waits
	// for it.
	Lapsed bool
}

// Orphans lists the runs in flight under grants that are no longer held.
func (h *Holder) Orphans() []Orphan {
	var orphans []Orphan
	for _, run := range h.runs {
		if h.problemWithGrant(run) == "" {
			continue
		}
		lapsed := run.period != h.period
		orphans = append(orphans, Orphan{Shard: run.shard, Fence: run.fence, Key: run.key, Lapsed: lapsed})
	}
	return orphans
}

// busy lists what the orphans still hold: the key, as its split shard, and the
// hash range too unless the key alone was taken out of it.
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

// InFlight returns the number of runs begun and not ended.
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
	Grants      []serverapi.Grant // held, or formerly activated
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

// sortedKeys returns the members of a set; nil when it is empty.
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
