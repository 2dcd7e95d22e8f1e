package adminapi

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

const (
	// publishAttempts is the maximum number of attempts while the outcome of a
	// text is unknown or the log is unavailable.
	publishAttempts = 5
	// publishRetryAfter is the minimum delay before a retry.
	publishRetryAfter = time.Second
)

// Publish sends a text until its outcome is known, at most publishAttempts times.
// Attempts after one that may have been accepted are marked as retries, so that a
// text which was accepted, but whose response was lost, is not reported as a
// conflict. Wait sleeps before a retry; nil means real time.
func (c *Client) Publish(ctx context.Context, base uint64, text []byte, wait func(context.Context, time.Duration) error) (Published, error) {
	if wait == nil {
		wait = sleep
	}
	retry := false
	for attempt := 1; ; attempt++ {
		published, err := c.PublishOnce(ctx, base, text, retry)
		pause, shouldRetry := retryAfter(err)
		if !shouldRetry || attempt == publishAttempts {
			return published, wrapUnknown(err, retry)
		}
		retry = retry || mayHaveRun(err)
		if wait(ctx, pause) != nil {
			return published, wrapUnknown(err, retry)
		}
	}
}

// retryAfter reports whether to retry a failed attempt, and after which delay.
func retryAfter(err error) (time.Duration, bool) {
	var failure *Failure
	if errors.As(err, &failure) {
		again := failure.Code == CodeNotAppended || failure.Code == CodeOutcomeUnknown
		return max(failure.RetryAfter(), publishRetryAfter), again
	}
	var call *CallError
	return publishRetryAfter, errors.As(err, &call)
}

// mayHaveRun reports whether a failed attempt may have been accepted.
func mayHaveRun(err error) bool {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Code == CodeOutcomeUnknown
	}
	var call *CallError
	return errors.As(err, &call) && call.Sent
}

// wrapUnknown wraps the error of the last attempt in *UnknownError if an attempt
// may have been accepted.
func wrapUnknown(err error, retried bool) error {
	if err == nil {
		return nil
	}
	_, shouldRetry := retryAfter(err)
	if shouldRetry && (retried || mayHaveRun(err)) {
		return &UnknownError{Cause: err}
	}
	return err
}

func sleep(ctx context.Context, wait time.Duration) error {
	if !clock.Wait(ctx, wait) {
		return ctx.Err()
	}
	return nil
}
