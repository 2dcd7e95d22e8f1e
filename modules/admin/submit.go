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
	// submitTimeout is how long a record's fate is waited for.
	submitTimeout = 10 * time.Second
	// logRetryAfter is when an operator should ask again while the log is away.
	logRetryAfter = 2 * time.Second
)

// submit appends a record and learns its fate, also when the operator's
// connection is lost meanwhile. A failure tells whether the record may yet take
// effect.
func (a *api) submit(r *http.Request, record *bspb.Record) (follower.Fate, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	fate, err := a.appender.Submit(ctx, record)
	if err == nil {
		return fate, nil
	}
	var notAppended *follower.NotAppendedError
	if errors.As(err, &notAppended) {
		metricNotAppended.Add(1)
		message := "the log cannot be reached: nothing changed and nothing will; ask again"
		return fate, unavailable(adminapi.CodeNotAppended, message, logRetryAfter)
	}
	metricUnknown.Add(1)
	message := "the log gave no answer: the change may yet take effect; ask again as a retry"
	return fate, unavailable(adminapi.CodeFateUnknown, message, logRetryAfter)
}
