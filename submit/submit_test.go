package submit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/submit"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// appender responds to each record after a delay.
type appender struct {
	delay    time.Duration
	accepted bool
	writes   []time.Time
}

func (a *appender) Submit(ctx context.Context, _ *bspb.Record) (follower.Outcome, error) {
	a.writes = append(a.writes, time.Now())
	select {
	case <-ctx.Done():
		return follower.Outcome{}, &follower.UnknownOutcomeError{Cause: ctx.Err()}
	case <-time.After(a.delay):
		return follower.Outcome{Accepted: a.accepted}, nil
	}
}

// offerRepeatedly offers a batch whenever the previous one is finished, for the
// duration d, and returns the number of accepted batches.
func offerRepeatedly(w *submit.Writer, d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	go w.Run(ctx)
	accepted := 0
	for {
		if w.Offer(ctx, []submit.Submission{{Record: &bspb.Record{}}}) {
			accepted++
		}
		select {
		case <-ctx.Done():
			synctest.Wait()
			return accepted
		case <-w.Finished():
		}
	}
}

func TestBatchesAreWrittenOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := &appender{delay: 100 * time.Millisecond, accepted: true}
		g.Expect(offerRepeatedly(submit.NewWriter("test", a), time.Minute)).To(gomega.BeNumerically("~", 600, 1))
	})
}

func TestRecordsWithoutEffectAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := &appender{}
		g.Expect(offerRepeatedly(submit.NewWriter("test", a), time.Minute)).To(gomega.BeNumerically("~", 80, 20))
	})
}

func TestOffersWhileBusyAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := submit.NewWriter("test", &appender{delay: time.Hour})
		go w.Run(ctx)
		batch := []submit.Submission{{Record: &bspb.Record{}}}
		g.Expect(w.Offer(ctx, nil)).To(gomega.BeFalse())
		g.Expect(w.Offer(ctx, batch)).To(gomega.BeTrue())
		g.Expect(w.Offer(ctx, batch)).To(gomega.BeFalse())
		time.Sleep(submit.Timeout + time.Second)
		synctest.Wait()
		g.Expect(w.Offer(ctx, batch)).To(gomega.BeTrue(), "a record of unknown outcome is abandoned")
		g.Expect(w.Dump().Deferred).To(gomega.BeEquivalentTo(1))
	})
}
