// Package vms is the stand-in for the platform's VM list: a list that lags in
// both directions, goes away, and misleads on request. It serves the protocol
// that modules/vmshttp reads, and modules/vmsmem uses it in one process.
package vms

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/vmlist"
)

// Faults is what is wrong with the list. The zero value is a list without
// lag.
type Faults struct {
	// ShowLag is how late a VM's appearance, and its return to live, is shown.
	ShowLag time.Duration `json:"showLagNs"`
	// HideLag is how late its leaving, its stop and its removal are shown.
	HideLag time.Duration `json:"hideLagNs"`
	// Outage makes every read fail.
	Outage bool `json:"outage"`
	// Hang makes every read wait until the reader gives up.
	Hang bool `json:"hang"`
}

// Platform keeps the truth about VMs and shows a list of it. Its methods may be
// called concurrently.
type Platform struct {
	mu        sync.Mutex
	histories map[string][]change // by ID, oldest first
	overrides map[string]*vmlist.VM
	faults    Faults
	reads     int
}

// change is what became true of a VM at a moment.
type change struct {
	at time.Time
	vm *vmlist.VM // nil when it was removed
}

var _ vmlist.List = (*Platform)(nil)

// New returns a platform without VMs.
func New() *Platform {
	return &Platform{histories: map[string][]change{}, overrides: map[string]*vmlist.VM{}}
}

// Put adds a VM or replaces what is true of it.
func (p *Platform) Put(vm vmlist.VM) { p.note(vm.ID, &vm) }

// Remove takes a VM off the list.
func (p *Platform) Remove(id string) { p.note(id, nil) }

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

func (p *Platform) note(id string, vm *vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.histories[id] = append(p.histories[id], change{at: time.Now(), vm: vm})
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Mislead shows a VM in place of what is true of the ID; nil hides it.
func (p *Platform) Mislead(id string, shown *vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.overrides[id] = shown
}

// StopMisleading shows the truth about an ID again.
func (p *Platform) StopMisleading(id string) {
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

// Reads returns how often the list was asked for.
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
		if _, misled := p.overrides[id]; misled {
			continue
		}
		if vm := p.visible(history, now); vm != nil {
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

// visible returns the latest change whose lag has passed.
func (p *Platform) visible(history []change, now time.Time) *vmlist.VM {
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
