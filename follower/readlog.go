package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// logReader reads the log, directly or through a relay, and passes the entries
// to the applier.
type logReader struct {
	f        *Follower
	pause    *backoff
	failing  bool // the last read failed
	searched bool // the log was searched for a checkpoint since the start

	gapSince time.Time // when records were first found missing on every node asked
	rebases  int       // rebases written

	sources    *sources
	seen       *state.View   // the view from which relays were chosen
	relays     []topo.NodeID // relays of this node in order of preference; empty if it is a relay
	lastSource topo.NodeID   // where the last read went
	logDelay   time.Duration // estimated delay of the log's responses beyond the hold
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

// step reads the log once and has the result applied.
func (r *logReader) step(ctx context.Context) error {
	wait := r.f.config.PollWait
	if r.lastSource != logSource {
		wait = 0 // contact must be renewed soon
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

// noteLogDelay stores the delay of the log's response. A slow log makes healthy
// relays appear late, so relays are no longer avoided then.
func (r *logReader) noteLogDelay(late time.Duration) {
	r.logDelay = min(max(late, 0), maxLogDelay)
	if r.logDelay > r.grace() {
		r.sources.reset()
	}
}

// isFarBehind reports whether a checkpoint is probably closer to the end of the
// log than the state is.
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

// read reads from the log, limited by wait and the adaptive read timeout.
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
