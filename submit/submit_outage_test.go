package submit_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/submit"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// rejectingAppender is an appender that returns an error at once while down.
type rejectingAppender struct {
	down  atomic.Bool
	calls atomic.Int64
}

func (r *rejectingAppender) Submit(context.Context, *bspb.Record) (follower.Outcome, error) {
	r.calls.Add(1)
	if r.down.Load() {
		return follower.Outcome{}, &platlog.UnavailableError{Op: "append", Cause: context.DeadlineExceeded}
	}
	return follower.Outcome{Accepted: true}, nil
}

// A duty decides again as soon as its writer has finished, so the writer must
// slow the duty down while the log is unavailable.
func TestUnavailableLogReceivesFewAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := &rejectingAppender{}
		log.down.Store(true)
		writer := submit.NewWriter("outage", log)
		ctx, cancel := context.WithCancel(context.Background())
		go writer.Run(ctx)
		go offerForever(ctx, writer)

		const outage = 60
		time.Sleep(outage * time.Second)
		synctest.Wait()
		g.Expect(log.calls.Load()).To(gomega.BeNumerically("<=", 3*outage))
		g.Expect(log.calls.Load()).To(gomega.BeNumerically(">=", outage/2), "it continues to append")

		log.down.Store(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		refused := log.calls.Load()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		g.Expect(log.calls.Load()).To(gomega.BeNumerically(">", refused), "no pause once the log is available")

		cancel()
		time.Sleep(offerInterval)
	})
}

const offerInterval = time.Millisecond

// offerForever offers a record whenever the writer is free, at most once a millisecond.
func offerForever(ctx context.Context, writer *submit.Writer) {
	for ctx.Err() == nil {
		writer.Offer(ctx, []submit.Submission{{Record: &bspb.Record{}, Done: checkTyped}})
		time.Sleep(offerInterval)
	}
}

func checkTyped(_ follower.Outcome, err error) {
	var unavailable *platlog.UnavailableError
	if err != nil && !errors.As(err, &unavailable) {
		panic(err)
	}
}
