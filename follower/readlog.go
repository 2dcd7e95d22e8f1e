package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog"
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
}

// runLogReader is the log reader's goroutine.
func (f *Follower) runLogReader(ctx context.Context) {
	r := &logReader{f: f, pause: f.newBackoff()}
	for ctx.Err() == nil {
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
	begun := time.Now()
	from := r.f.applied() + 1
	batch, err := r.f.read(ctx, from, readMax, r.f.config.PollWait)
	var truncated *platlog.TruncatedError
	if errors.As(err, &truncated) {
		return r.recover(ctx)
	}
	if err != nil {
		return err
	}
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

// farBehind reports whether a checkpoint is likely to be nearer the end.
func (r *logReader) farBehind(batch platlog.Batch) bool {
	return batch.End > r.f.applied()+topo.Offset(2*r.f.config.CheckpointEvery)
}

func (r *logReader) failed(err error) {
	if r.lost {
		return
	}
	r.lost = true
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
	for _, entry := range batch.Entries {
		count(metricReadBytes, len(entry.Data))
	}
	return batch, nil
}
