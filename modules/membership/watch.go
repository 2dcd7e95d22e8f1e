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

// watcher calls Status on the watched nodes at regular intervals.
type watcher struct {
	caller  peer.Caller
	targets func() any // []topo.NodeID
	results *ring.Ring[nodeAnswer]
}

// run returns when ctx is done.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
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
	metricStatusCalls.Add(1)
	result := nodeAnswer{node: id, began: time.Now()}
	status, err := w.caller.Status(callCtx, id)
	if err != nil {
		if ctx.Err() != nil {
			return // this node is stopping; the failure does not concern the other node
		}
		metricStatusFailed.Add(1)
		result.failed = true
	} else {
		result.answer = core.Answer{Boot: topo.BootID(status.GetSender().GetBoot()), Draining: status.GetDraining()}
		for _, unresponsive := range status.GetSilent() {
			result.answer.Unresponsive = append(result.answer.Unresponsive, topo.NodeID(unresponsive))
		}
	}
	_ = w.results.Put(ctx, result) // fails only when ctx is done
}

// vmList is the result of one successful read of the VM list.
type vmList struct {
	vms   []vmlist.VM
	asked time.Time
}

// reader reads the VM list at regular intervals while this node needs it.
type reader struct {
	list     vmlist.List
	interval time.Duration
	enabled  func() bool
	results  *ring.Ring[vmList]
}

// run returns when ctx is done.
func (r *reader) run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		if r.enabled() {
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
	readCtx, cancel := context.WithTimeout(ctx, max(r.interval, defaultPollInterval))
	defer cancel()
	vms, err := r.list.VMs(readCtx)
	if err != nil {
		metricListFailed.Add(1)
		return
	}
	_ = r.results.Put(ctx, vmList{vms: vms, asked: asked}) // fails only when ctx is done
}
