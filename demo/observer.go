package demo

import (
	"context"
	"sync"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/standin/server"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// observer records the records of the log that an entry node has applied: assignments and
// the site configuration in force. An applied record was read back from the log
// at its offset, so it is treated as acknowledged.
type observer struct {
	identity kernel.Identity
	source   state.Source
	recorder history.Recorder
	clock    history.Clock

	fences      map[topo.ShardID]topo.Fence
	siteVersion uint64
}

// observe starts an observer of a node; it ends with ctx.
func observe(ctx context.Context, wait *sync.WaitGroup, nodeContext *kernel.Context, recorder history.Recorder, clock history.Clock) error {
	source, err := kernel.Use[state.Source](nodeContext)
	if err != nil {
		return err
	}
	o := &observer{
		identity: nodeContext.Identity,
		source:   source,
		recorder: recorder,
		clock:    clock,
		fences:   map[topo.ShardID]topo.Fence{},
	}
	wait.Go(func() { o.run(ctx) })
	return nil
}

func (o *observer) run(ctx context.Context) {
	for {
		changed := o.source.Changed()
		o.record(o.source.View())
		select {
		case <-changed:
		case <-ctx.Done():
			o.record(o.source.View())
			return
		}
	}
}

func (o *observer) record(view *state.View) {
	at := o.clock()
	if version := view.SiteVersion(); version != o.siteVersion {
		o.siteVersion = version
		o.recorder.Record(history.SiteInForce{
			At: at, Node: o.identity.Node, Boot: o.identity.Boot, Version: version, Digest: server.DigestOf(view.SiteText()),
		})
	}
	if view.Site() == nil {
		return
	}
	for service := range view.Site().Services {
		view.EachShard(service, func(assignment state.Assignment) bool {
			o.recordAssignment(at, assignment)
			return true
		})
	}
}

func (o *observer) recordAssignment(at history.Time, assignment state.Assignment) {
	if assignment.Fence == o.fences[assignment.Shard] {
		return
	}
	o.fences[assignment.Shard] = assignment.Fence
	o.recorder.Record(history.AssignmentKnown{
		At: at, Node: o.identity.Node, Shard: assignment.Shard, Fence: assignment.Fence,
		Owner: assignment.Owner, Acknowledged: true,
	})
}
