// Package vms is the stand-in for the platform's VM list. On request the list
// shows additions and removals late, fails, or shows false rows. It serves the
// protocol that modules/vmshttp reads; modules/vmsmem uses it within one process.
package vms

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/vmlist"
)

// Faults configures the injected faults. The zero value is an available list
// without lag.
type Faults struct {
	// ShowLag is the delay until a VM's addition or its return to live is shown.
	ShowLag time.Duration `json:"showLagNs"`
	// HideLag is the delay until a VM's change to leaving or gone, or its removal,
	// is shown.
	HideLag time.Duration `json:"hideLagNs"`
	// Outage makes every read fail.
	Outage bool `json:"outage"`
	// Hang makes every read block until its context ends.
	Hang bool `json:"hang"`
}

// Platform records the actual state of the VMs and derives the list from it. It
// is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	histories map[string][]change // by ID, oldest first
	overrides map[string]*vmlist.VM
	faults    Faults
	reads     int
}

// change is the state of a VM from a point in time on.
type change struct {
	at time.Time
	vm *vmlist.VM // nil after the removal
}

var _ vmlist.List = (*Platform)(nil)

// New returns a platform without VMs.
func New() *Platform {
	return &Platform{histories: map[string][]change{}, overrides: map[string]*vmlist.VM{}}
}

// Put adds a VM or replaces its state.
func (p *Platform) Put(vm vmlist.VM) { p.appendChange(vm.ID, &vm) }

// Remove removes a VM.
func (p *Platform) Remove(id string) { p.appendChange(id, nil) }

// SetPhase changes a VM's phase; an unknown ID is ignored.
func (p *Platform) SetPhase(id string, phase vmlist.Phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	history := p.histories[id]
	if len(history) == 0 || history[len(history)-1].vm == nil {
		return
	}
	vm := *history[len(history)-1].vm
	vm.Phase = phase
	p.histories[id] = append(history, change{at: time.Now(), vm: &vm})
}

func (p *Platform) appendChange(id string, vm *vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.histories[id] = append(p.histories[id], change{at: time.Now(), vm: vm})
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Override makes the list show a VM in place of the actual state of the ID; nil
// hides the ID.
func (p *Platform) Override(id string, shown *vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.overrides[id] = shown
}

// ClearOverride makes the list show the actual state of an ID again.
func (p *Platform) ClearOverride(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.overrides, id)
}

// VMs implements vmlist.List.
func (p *Platform) VMs(ctx context.Context) ([]vmlist.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	faults := p.beginRead()
	if faults.Hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if faults.Outage {
		return nil, &vmlist.UnavailableError{Cause: &OutageError{}}
	}
	return p.shown(time.Now()), nil
}

func (p *Platform) beginRead() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.faults
}

// Reads returns the number of reads of the list.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) shown(now time.Time) []vmlist.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []vmlist.VM{}
	for id, history := range p.histories {
		if _, overridden := p.overrides[id]; overridden {
			continue
		}
		if vm := p.visibleVM(history, now); vm != nil {
			list = append(list, *vm)
		}
	}
	for _, vm := range p.overrides {
		if vm != nil {
			list = append(list, *vm)
		}
	}
	slices.SortFunc(list, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// visibleVM returns the VM of the latest change whose lag has passed; nil when
// the list shows none.
func (p *Platform) visibleVM(history []change, now time.Time) *vmlist.VM {
	for i := len(history) - 1; i >= 0; i-- {
		lag := p.faults.HideLag
		if vm := history[i].vm; vm != nil && vm.Phase == vmlist.PhaseLive {
			lag = p.faults.ShowLag
		}
		if !now.Before(history[i].at.Add(lag)) {
			return history[i].vm
		}
	}
	return nil
}

// OutageError is the cause of a read that failed because of Faults.Outage.
type OutageError struct{}

// Error implements error.
func (e *OutageError) Error() string { return "planted outage" }
