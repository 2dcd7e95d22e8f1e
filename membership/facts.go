package membership

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// facts is what the list and the server's own word say of one server.
type facts struct {
	says      authority
	row       vmlist.VM
	listed    bool
	gone      bool // called gone by enough lists
	absentFor time.Duration
	word      Word
	heard     bool // answered its lessor lately
	silentFor time.Duration
}

func (o *Observed) facts(server state.Server, says authority) facts {
	id := string(server.ID)
	f := facts{says: says, gone: o.Roster.Gone(id), absentFor: o.Roster.AbsentFor(id)}
	f.row, f.listed = o.Roster.Row(id)
	if says != authorityLessor {
		return f
	}
	word, reported := o.Words[server.ID]
	if !reported {
		return f
	}
	f.word = word
	if !word.Silent.IsZero() {
		f.silentFor = o.Now.Sub(word.Silent)
	}
	f.heard = !word.At.IsZero() && word.Silent.IsZero() && o.Now.Sub(word.At) < WordLasts
	return f
}

// unheard reports whether whoever should hear the server does not.
func (f *facts) unheard() bool {
	switch f.says {
	case authorityOrphan:
		return true
	case authorityLessor:
		return f.silentFor >= SilentServerAfter
	}
	return false
}

// confirmedGone reports whether the platform says that the VM has stopped and
// nothing contradicts it: a server that still answers is believed more than
// the list.
func (f *facts) confirmedGone() bool { return f.gone && f.unheard() }

// removable reports whether the server should be forgotten once no shard names
// it.
func (f *facts) removable() bool {
	return f.unheard() && (f.gone || f.absentFor >= RemoveServerAfter)
}

// phase returns the server's next phase.
func (f *facts) phase(now state.Phase) state.Phase {
	switch {
	case f.mustDrain():
		if now == state.PhaseGone {
			return now
		}
		return state.PhaseDraining
	case f.mayReturn():
		return state.PhaseLive
	}
	return now
}

// mustDrain reports whether the server should get nothing new: the list or the
// server itself says that it leaves, or it is silent, or missing and unheard.
func (f *facts) mustDrain() bool {
	switch {
	case f.listed && f.row.Phase != vmlist.PhaseLive:
		return true
	case f.heard && f.word.Draining:
		return true
	case f.says == authorityLessor && f.silentFor >= SilentServerAfter:
		return true
	}
	return f.unheard() && f.absentFor >= AbsentServerAfter
}

// mayReturn reports whether the server may get work again: the list shows it as
// live and it says itself that it serves. The list alone is not enough, since
// it may lag behind the server's own word.
func (f *facts) mayReturn() bool {
	return f.listed && f.row.Phase == vmlist.PhaseLive && f.heard && !f.word.Draining
}

// group returns the server's lessor group: the one it has while shards name it
// or while that is still among the zone's groups as they are now.
func (f *facts) group(server state.Server, perZone int, named *named) topo.GroupID {
	best := AssignGroup(server.Zone, server.ID, perZone)
	if best == server.Group || named.has(server.ID) {
		return server.Group
	}
	return best
}
