package adminapi

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

const (
	// publishAttempts bounds how often a text is sent while its fate is not
	// known or the log is away.
	publishAttempts = 5
	// publishRetryAfter is the wait when the node named none.
	publishRetryAfter = time.Second
)

// Publish sends a text until its fate is known. The second and later attempts
// say that they are retries, so that a text which was accepted, but whose
// answer was lost, is not mistaken for a conflict. Wait sleeps; nil means
// real time.
func (c *Client) Publish(ctx context.Context, base uint64, text []byte, wait func(context.Context, time.Duration) error) (Published, error) {
	if wait == nil {
		wait = sleep
	}
	retry := false
	for attempt := 1; ; attempt++ {
		published, err := c.PublishOnce(ctx, base, text, retry)
		pause, again := retryAfter(err)
		if !again || attempt == publishAttempts {
			return published, unknownIf(err, retry)
		}
		retry = retry || mayHaveRun(err)
		if wait(ctx, pause) != nil {
			return published, unknownIf(err, retry)
		}
	}
}

// retryAfter reports whether an attempt is to be repeated, and when.
func retryAfter(err error) (time.Duration, bool) {
	var failure *Failure
	if errors.As(err, &failure) {
		again := failure.Code == CodeNotAppended || failure.Code == CodeFateUnknown
		return max(failure.RetryAfter(), publishRetryAfter), again
	}
	var call *CallError
	return publishRetryAfter, errors.As(err, &call)
}

// mayHaveRun reports whether a failed attempt may have been accepted.
func mayHaveRun(err error) bool {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Code == CodeFateUnknown
	}
	var call *CallError
	return errors.As(err, &call) && call.Sent
}

// unknownIf tells a caller who gave up that an attempt may have been accepted.
func unknownIf(err error, retried bool) error {
	if err == nil {
		return nil
	}
	_, again := retryAfter(err)
	if again && (retried || mayHaveRun(err)) {
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
