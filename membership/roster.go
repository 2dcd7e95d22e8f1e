package membership

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// ListLasts is how long the latest list counts. A node that had no use for the
// list for a while starts with an old one.
const ListLasts = 5 * time.Second

// forgetAfter is how long a VM that lists lack is remembered.
const forgetAfter = time.Hour

// goneReads is how many lists in a row have to call a VM gone before it counts.
const goneReads = 2

// Roster is the latest VM list with what earlier ones said. A list that could
// not be read changes nothing: no time without a list counts as absence. It is
// not safe for concurrent use.
type Roster struct {
	read  time.Time // when the latest list was asked for; zero before the first
	rows  map[string]vmlist.VM
	gone  map[string]int       // lists in a row that called the VM gone
	lacks map[string]time.Time // VMs once listed → first list without them
	// noticed is since when the state has named a VM.
	noticed map[string]time.Time
}

// NewRoster returns a roster that has read no list.
func NewRoster() *Roster {
	return &Roster{rows: map[string]vmlist.VM{}, gone: map[string]int{}, lacks: map[string]time.Time{}}
}

// Update takes a list that was asked for at a moment.
func (r *Roster) Update(vms []vmlist.VM, asked time.Time) {
	if asked.Before(r.read) {
		return
	}
	rows := make(map[string]vmlist.VM, len(vms))
	gone := map[string]int{}
	for _, vm := range vms {
		rows[vm.ID] = vm
		delete(r.lacks, vm.ID)
		if vm.Phase == vmlist.PhaseGone {
			gone[vm.ID] = r.gone[vm.ID] + 1
		}
	}
	for id := range r.rows {
		if _, listed := rows[id]; !listed {
			r.lacks[id] = asked
		}
	}
	for id, since := range r.lacks {
		if asked.Sub(since) > forgetAfter {
			delete(r.lacks, id)
		}
	}
	r.rows, r.gone, r.read = rows, gone, asked
}

// Current returns the roster if its list still counts, else one that has read
// none.
func (r *Roster) Current(now time.Time) *Roster {
	if now.Sub(r.read) > ListLasts {
		return NewRoster()
	}
	return r
}

// Read returns when the latest list was asked for; the zero time before the
// first.
func (r *Roster) Read() time.Time { return r.read }

// Row returns a VM's row in the latest list.
func (r *Roster) Row(id string) (vmlist.VM, bool) {
	vm, listed := r.rows[id]
	return vm, listed
}

// Gone reports whether enough lists in a row called a VM gone.
func (r *Roster) Gone(id string) bool { return r.gone[id] >= goneReads }

// Notice tells which VMs the state names now, so that the absence of one that
// was never listed counts from when the state first named it.
func (r *Roster) Notice(view *state.View, now time.Time) {
	noticed := make(map[string]time.Time, len(view.Servers())+len(view.Nodes()))
	note := func(id string) {
		since, known := r.noticed[id]
		if !known {
			since = now
		}
		noticed[id] = since
	}
	for id := range view.Servers() {
		note(string(id))
	}
	for id := range view.Nodes() {
		note(string(id))
	}
	r.noticed = noticed
}

// AbsentFor returns for how long a VM that the state names has been absent from
// the lists, as far as lists show; 0 for one that is listed.
func (r *Roster) AbsentFor(id string) time.Duration {
	since, named := r.noticed[id]
	if _, listed := r.rows[id]; listed || !named {
		return 0
	}
	if first, listedBefore := r.lacks[id]; listedBefore && first.After(since) {
		since = first
	}
	return max(0, r.read.Sub(since))
}
