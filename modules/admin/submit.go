package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/follower"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// submitTimeout is the timeout for the outcome of a record.
	submitTimeout = 10 * time.Second
	// logRetryAfter is the delay before an operator retries while the log is
	// unavailable.
	logRetryAfter = 2 * time.Second
)

// submit appends a record and returns its outcome. It continues if the operator's
// connection is lost meanwhile. A failure states whether the record may still take
// effect.
func (a *api) submit(r *http.Request, record *bspb.Record) (follower.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	outcome, err := a.appender.Submit(ctx, record)
	if err == nil {
		return outcome, nil
	}
	var notAppended *follower.NotAppendedError
	if errors.As(err, &notAppended) {
		metricNotAppended.Add(1)
		message := "the log cannot be reached: nothing changed and nothing will; ask again"
		return outcome, unavailable(adminapi.CodeNotAppended, message, logRetryAfter)
	}
	metricUnknown.Add(1)
	message := "the log gave no answer: the change may yet take effect; ask again as a retry"
	return outcome, unavailable(adminapi.CodeOutcomeUnknown, message, logRetryAfter)
}
