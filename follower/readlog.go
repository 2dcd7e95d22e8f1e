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
	f        *Follower
	pause    *backoff
	failing  bool // the last read failed
	searched bool // a checkpoint was looked for since the start

	gapSince time.Time // when records were first missing for everybody asked
	rebases  int       // rebases written

	sources    *sources
	seen       *state.View   // the view from which relays were taken
	relays     []topo.NodeID // that this node may ask, in its order; none if it is one
	lastSource topo.NodeID   // where it read last
	logDelay   time.Duration // by how much the log answered late when it was read last
}

// runLogReader is the log reader's goroutine.
func (f *Follower) runLogReader(ctx context.Context) {
	r := &logReader{f: f, pause: f.newBackoff(), sources: newSources()}
	for ctx.Err() == nil {
		if relay := r.source(r.f.now()); relay != logSource {
			r.readRelay(ctx, relay)
			continue
		}
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.noteFailure(err)
			r.pause.wait(ctx)
			continue
		}
		r.noteSuccess()
	}
}

// step reads once and has the result applied.
func (r *logReader) step(ctx context.Context) error {
	wait := r.f.config.PollWait
	if r.lastSource != logSource {
		wait = 0 // contact is due
	}
	r.setSource(logSource)
	begun := r.f.now()
	from := r.f.applied() + 1
	batch, err := r.f.read(ctx, from, maxReadEntries, wait)
	var truncated *platlog.TruncatedError
	if errors.As(err, &truncated) {
		return r.recover(ctx)
	}
	if err != nil {
		return err
	}
	r.noteLogDelay(r.f.now().Sub(begun) - wait)
	if !r.searched && r.isFarBehind(batch) {
		r.searched = true
		if r.restoreNewest(ctx, batch.First, batch.End) {
			return nil
		}
	}
	r.searched = true
	r.gapSince = time.Time{}
	r.f.schedule.noteFirst(batch.First)
	err = r.f.applyBatch(ctx, logResponse{begun: begun, from: from, batch: batch})
	if rebase, isRebase := asRebase(err); isRebase {
		return r.rebase(ctx, rebase)
	}
	return err
}

// noteLogDelay notes by how much the log answered late. A log that is slow makes
// relays look late without fault of theirs, so that they are asked again.
func (r *logReader) noteLogDelay(late time.Duration) {
	r.logDelay = min(max(late, 0), maxLogDelay)
	if r.logDelay > r.grace() {
		r.sources.reset()
	}
}

// isFarBehind reports whether a checkpoint is likely to be nearer the end.
func (r *logReader) isFarBehind(batch platlog.Batch) bool {
	return batch.End > r.f.applied()+topo.Offset(2*r.f.config.CheckpointEvery)
}

func (r *logReader) noteFailure(err error) {
	if r.failing {
		return
	}
	r.failing = true
	r.f.failing.Store(true)
	var rewound *RewoundError
	if errors.As(err, &rewound) {
		eventRewound.Log(r.f.config.Logger, "error", err)
		return
	}
	eventLogFailing.Log(r.f.config.Logger, "error", err)
}

func (r *logReader) noteSuccess() {
	r.pause.reset()
	if r.failing {
		r.failing = false
		r.f.failing.Store(false)
		eventLogRecovered.Log(r.f.config.Logger, "applied", r.f.applied())
	}
}

// read reads from the log with a limit on the time without an answer.
func (f *Follower) read(ctx context.Context, from topo.Offset, maxEntries int, wait time.Duration) (platlog.Batch, error) {
	limited, cancel := f.readTimeout.limit(ctx, wait)
	defer cancel()
	begun := time.Now()
	batch, err := f.config.Log.Read(limited, platlog.ReadRequest{From: from, Max: maxEntries, Wait: wait})
	f.readTimeout.observe(time.Since(begun)-wait, err)
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
