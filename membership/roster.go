package membership

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// MaxListAge is the age up to which the latest list is used. The list can be older
// on a node that did not need it and therefore stopped reading it.
const MaxListAge = 5 * time.Second

// absenceRetention is how long the roster keeps the time since which a VM is missing from
// the lists.
const absenceRetention = time.Hour

// goneConfirmations is how many lists in a row must show a VM as gone before it is treated
// as gone.
const goneConfirmations = 2

// Roster is the latest VM list together with the relevant history of earlier ones.
// A list that could not be read changes nothing, so that time without a list is not
// treated as absence. A Roster is not safe for concurrent use.
type Roster struct {
	readAt       time.Time // when the latest list was requested; zero before the first
	rows         map[string]vmlist.VM
	goneCount    map[string]int       // consecutive lists that showed the VM as gone
	missingSince map[string]time.Time // VM listed before → request time of the first list without it
	// inStateSince maps a VM in the state to the time at which it was first seen there.
	inStateSince map[string]time.Time
}

// NewRoster returns a roster without a list.
func NewRoster() *Roster {
	return &Roster{rows: map[string]vmlist.VM{}, goneCount: map[string]int{}, missingSince: map[string]time.Time{}}
}

// Update replaces the list by one that was requested at the given time, unless the
// present list was requested later.
func (r *Roster) Update(vms []vmlist.VM, asked time.Time) {
	if asked.Before(r.readAt) {
		return
	}
	rows := make(map[string]vmlist.VM, len(vms))
	gone := map[string]int{}
	for _, vm := range vms {
		rows[vm.ID] = vm
		delete(r.missingSince, vm.ID)
		if vm.Phase == vmlist.PhaseGone {
			gone[vm.ID] = r.goneCount[vm.ID] + 1
		}
	}
	for id := range r.rows {
		if _, listed := rows[id]; !listed {
			r.missingSince[id] = asked
		}
	}
	for id, since := range r.missingSince {
		if asked.Sub(since) > absenceRetention {
			delete(r.missingSince, id)
		}
	}
	r.rows, r.goneCount, r.readAt = rows, gone, asked
}

// Current returns the roster if its list is not older than MaxListAge, and an empty
// roster otherwise.
func (r *Roster) Current(now time.Time) *Roster {
	if now.Sub(r.readAt) > MaxListAge {
		return NewRoster()
	}
	return r
}

// ReadAt returns when the latest list was requested, or the zero time before the
// first one.
func (r *Roster) ReadAt() time.Time { return r.readAt }

// Row returns a VM's row in the latest list.
func (r *Roster) Row(id string) (vmlist.VM, bool) {
	vm, listed := r.rows[id]
	return vm, listed
}

// Gone reports whether enough lists in a row showed a VM as gone.
func (r *Roster) Gone(id string) bool { return r.goneCount[id] >= goneConfirmations }

// ObserveState records which VMs are in the state now, so that the absence of a VM
// that was never listed is measured from its first appearance in the state.
func (r *Roster) ObserveState(view *state.View, now time.Time) {
	inState := make(map[string]time.Time, len(view.Servers())+len(view.Nodes()))
	note := func(id string) {
		since, known := r.inStateSince[id]
		if !known {
			since = now
		}
		inState[id] = since
	}
	for id := range view.Servers() {
		note(string(id))
	}
	for id := range view.Nodes() {
		note(string(id))
	}
	r.inStateSince = inState
}

// AbsentFor returns how long a VM in the state has been absent from the lists, up to
// the latest list. It returns 0 for a VM that is listed.
func (r *Roster) AbsentFor(id string) time.Duration {
	since, named := r.inStateSince[id]
	if _, listed := r.rows[id]; listed || !named {
		return 0
	}
	if first, listedBefore := r.missingSince[id]; listedBefore && first.After(since) {
		since = first
	}
	return max(0, r.readAt.Sub(since))
}
