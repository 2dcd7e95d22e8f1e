package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// logReader reads the log and gives what it reads to the applier.
type logReader struct {
	f     *Follower
	pause *backoff
	lost  bool // the last read failed
	asked bool // a checkpoint was looked for since the start

	gapSince time.Time // when records were first missing for everybody asked
	rebases  int       // rebases written

	sources *sources
	seen    *state.View   // the view from which relays were taken
	relays  []topo.NodeID // that this node may ask, in its order; none if it is one
	from    topo.NodeID   // where it read last
	slow    time.Duration // by how much the log answered late when it was read last
}

// runLogReader is the log reader's goroutine.
func (f *Follower) runLogReader(ctx context.Context) {
	r := &logReader{f: f, pause: f.newBackoff(), sources: newSources()}
	for ctx.Err() == nil {
		if relay := r.source(r.f.now()); relay != logSource {
			r.follow(ctx, relay)
			continue
		}
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.failed(err)
			r.pause.wait(ctx)
			continue
		}
		r.worked()
	}
}

// step reads once and has the result applied.
func (r *logReader) step(ctx context.Context) error {
	wait := r.f.config.PollWait
	if r.from != logSource {
		wait = 0 // contact is due
	}
	r.turnTo(logSource)
	begun := r.f.now()
	from := r.f.applied() + 1
	batch, err := r.f.read(ctx, from, readMax, wait)
	var truncated *platlog.TruncatedError
	if errors.As(err, &truncated) {
		return r.recover(ctx)
	}
	if err != nil {
		return err
	}
	r.noteSpeed(r.f.now().Sub(begun) - wait)
	if !r.asked && r.farBehind(batch) {
		r.asked = true
		if r.restoreNewest(ctx, batch.First, batch.End) {
			return nil
		}
	}
	r.asked = true
	r.gapSince = time.Time{}
	r.f.due.noteFirst(batch.First)
	err = r.f.applyBatch(ctx, logAnswer{begun: begun, from: from, batch: batch})
	if rebase, isRebase := asRebase(err); isRebase {
		return r.rebase(ctx, rebase)
	}
	return err
}

// noteSpeed notes by how much the log answered late. A log that is slow makes
// relays look late without fault of theirs, so that they are asked again.
func (r *logReader) noteSpeed(late time.Duration) {
	r.slow = min(max(late, 0), mostSlow)
	if r.slow > r.grace() {
		r.sources.forgive()
	}
}

// farBehind reports whether a checkpoint is likely to be nearer the end.
func (r *logReader) farBehind(batch platlog.Batch) bool {
	return batch.End > r.f.applied()+topo.Offset(2*r.f.config.CheckpointEvery)
}

func (r *logReader) failed(err error) {
	if r.lost {
		return
	}
	r.lost = true
	r.f.failing.Store(true)
	var rewound *RewoundError
	if errors.As(err, &rewound) {
		eventRewound.Log(r.f.config.Logger, "error", err)
		return
	}
	eventLogLost.Log(r.f.config.Logger, "error", err)
}

func (r *logReader) worked() {
	r.pause.reset()
	if r.lost {
		r.lost = false
		r.f.failing.Store(false)
		eventLogBack.Log(r.f.config.Logger, "applied", r.f.applied())
	}
}

// read reads from the log with a limit on the time without an answer.
func (f *Follower) read(ctx context.Context, from topo.Offset, most int, wait time.Duration) (platlog.Batch, error) {
	limited, cancel := f.readPatience.limit(ctx, wait)
	defer cancel()
	begun := time.Now()
	batch, err := f.config.Log.Read(limited, platlog.ReadRequest{From: from, Max: most, Wait: wait})
	f.readPatience.learn(time.Since(begun)-wait, err)
	if err != nil {
		count(metricReadFailures, 1)
		return platlog.Batch{}, err
	}
	count(metricReads, 1)
	countSource(sourceLog)
	for _, entry := range batch.Entries {
		count(metricReadBytes, len(entry.Data))
	}
	return batch, nil
}
