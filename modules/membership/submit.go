package membership

import (
	"context"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/ring"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// submission is one record with the event to log when it took effect.
type submission struct {
	record *bspb.Record
	done   func()
}

// submitter writes records one after the other. While it is busy the duty puts
// its decisions off and decides anew afterwards, so nothing out of date queues
// up.
type submitter struct {
	appender follower.Appender
	logger   hclog.Logger
	queue    *ring.Ring[[]submission]
	busy     atomic.Bool
	finished chan struct{} // size 1; tells that decisions may go on
}

func newSubmitter(appender follower.Appender, logger hclog.Logger) *submitter {
	return &submitter{
		appender: appender,
		logger:   logger,
		queue:    ring.New[[]submission]("membership-submissions", 1, ring.DropNew),
		finished: make(chan struct{}, 1),
	}
}

// offer hands over a batch; it is put off when one is being written.
func (s *submitter) offer(ctx context.Context, batch []submission) {
	if len(batch) == 0 {
		return
	}
	if !s.busy.CompareAndSwap(false, true) {
		metricPutOff.Add(1)
		return
	}
	_ = s.queue.Put(ctx, batch) // has room, since the submitter was idle
}

// run ends with ctx.
func (s *submitter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-s.queue.Items():
			for _, one := range batch {
				s.submit(ctx, one)
			}
			s.busy.Store(false)
			select {
			case s.finished <- struct{}{}:
			default:
			}
		}
	}
}

func (s *submitter) submit(ctx context.Context, one submission) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	metricSubmitted.Add(1)
	fate, err := s.appender.Submit(ctx, one.record)
	switch {
	case err != nil:
		metricSubmitFailed.Add(1)
		eventSubmitFailed.Log(s.logger, "error", err)
	case !fate.Accepted:
		metricRefused.Add(1)
		eventRefused.Log(s.logger, "offset", fate.Offset, "conflict", fate.Conflict)
	default:
		one.done()
	}
}
