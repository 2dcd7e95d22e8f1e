package membership

import (
	"context"
	"sync"
	"time"

	core "github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/ring"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// nodeAnswer is the result of one Status call.
type nodeAnswer struct {
	node   topo.NodeID
	began  time.Time
	answer core.Answer
	failed bool
}

// watcher calls the watched nodes' Status at intervals.
type watcher struct {
	caller  peer.Caller
	targets func() any // []topo.NodeID
	results *ring.Ring[nodeAnswer]
}

// run ends with ctx.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.callAll(ctx)
		}
	}
}

func (w *watcher) callAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, id := range w.targets().([]topo.NodeID) {
		calls.Go(func() { w.call(ctx, id) })
	}
	calls.Wait()
}

func (w *watcher) call(ctx context.Context, id topo.NodeID) {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	metricProbes.Add(1)
	result := nodeAnswer{node: id, began: time.Now()}
	status, err := w.caller.Status(callCtx, id)
	if err != nil {
		if ctx.Err() != nil {
			return // this node stops; that says nothing of the other
		}
		metricProbeFailed.Add(1)
		result.failed = true
	} else {
		result.answer = core.Answer{Boot: topo.BootID(status.GetSender().GetBoot()), Draining: status.GetDraining()}
		for _, silent := range status.GetSilent() {
			result.answer.Unresponsive = append(result.answer.Unresponsive, topo.NodeID(silent))
		}
	}
	_ = w.results.Put(ctx, result) // ends only with ctx
}

// vmList is the result of one successful read of the VM list.
type vmList struct {
	vms   []vmlist.VM
	asked time.Time
}

// reader reads the VM list at intervals while this node has a use for it.
type reader struct {
	list    vmlist.List
	every   time.Duration
	wanted  func() bool
	results *ring.Ring[vmList]
}

// run ends with ctx.
func (r *reader) run(ctx context.Context) {
	ticker := time.NewTicker(r.every)
	defer ticker.Stop()
	for {
		if r.wanted() {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *reader) read(ctx context.Context) {
	asked := time.Now()
	metricListReads.Add(1)
	readCtx, cancel := context.WithTimeout(ctx, max(r.every, defaultPollEvery))
	defer cancel()
	vms, err := r.list.VMs(readCtx)
	if err != nil {
		metricListFailed.Add(1)
		return
	}
	_ = r.results.Put(ctx, vmList{vms: vms, asked: asked}) // ends only with ctx
}
