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

// appender answers each record after a time.
type appender struct {
	takes    time.Duration
	accepted bool
	writes   []time.Time
}

func (a *appender) Submit(ctx context.Context, _ *bspb.Record) (follower.Fate, error) {
	a.writes = append(a.writes, time.Now())
	select {
	case <-ctx.Done():
		return follower.Fate{}, &follower.UnknownFateError{Cause: ctx.Err()}
	case <-time.After(a.takes):
		return follower.Fate{Accepted: a.accepted}, nil
	}
}

// offering offers a batch whenever the last is done, for a time, and returns
// how many were taken.
func offering(w *submit.Writer, d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	go w.Run(ctx)
	taken := 0
	for {
		if w.Offer(ctx, []submit.Submission{{Record: &bspb.Record{}}}) {
			taken++
		}
		select {
		case <-ctx.Done():
			synctest.Wait()
			return taken
		case <-w.Finished():
		}
	}
}

func TestBatchesAreWrittenOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := &appender{takes: 100 * time.Millisecond, accepted: true}
		g.Expect(offering(submit.NewWriter("test", a), time.Minute)).To(gomega.BeNumerically("~", 600, 1))
	})
}

func TestRecordsWithoutEffectAreNotRepeatedInHaste(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		a := &appender{}
		g.Expect(offering(submit.NewWriter("test", a), time.Minute)).To(gomega.BeNumerically("~", 80, 20))
	})
}

func TestOffersWhileBusyAreNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := submit.NewWriter("test", &appender{takes: time.Hour})
		go w.Run(ctx)
		batch := []submit.Submission{{Record: &bspb.Record{}}}
		g.Expect(w.Offer(ctx, nil)).To(gomega.BeFalse())
		g.Expect(w.Offer(ctx, batch)).To(gomega.BeTrue())
		g.Expect(w.Offer(ctx, batch)).To(gomega.BeFalse())
		time.Sleep(submit.Timeout + time.Second)
		synctest.Wait()
		g.Expect(w.Offer(ctx, batch)).To(gomega.BeTrue(), "a record of unknown fate is given up")
		g.Expect(w.Dump().PutOff).To(gomega.BeEquivalentTo(1))
	})
}
