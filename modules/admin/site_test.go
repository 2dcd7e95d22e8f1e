package admin_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/sitefake"
)

var _ = ginkgo.Describe("publication of the site configuration", func() {
	ginkgo.It("publishes and reads the site configuration", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		site, err := r.client().Site(background)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(site).To(gomega.Equal(adminapi.Site{}))

		published, err := r.client().Publish(background, 0, siteText(1), noWait)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(published).To(gomega.Equal(adminapi.Published{Version: 1, InForce: 1}))
		site, err = r.client().Site(background)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(site).To(gomega.Equal(adminapi.Site{Version: 1, Text: string(siteText(1))}))
		r.Expect(r.site.View().Site().Services).To(gomega.HaveLen(1), "the log carries the compiled form")
	})

	ginkgo.It("an invalid text is rejected with all its problems", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		_, err := r.client().PublishOnce(background, 0, []byte("{\"services\": {\n\"Logs\": {\"keyed\": 1}}}"), false)
		failure := r.failure(err, adminapi.CodeInvalid)
		r.Expect(failure.Problems).To(gomega.HaveLen(5))
		r.Expect(failure.Problems[0].Line).To(gomega.Equal(2))
		r.Expect(r.site.Records()).To(gomega.BeEmpty())
	})

	ginkgo.It("the number of shards of the base version may not change", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		_, err := r.client().PublishOnce(background, 0, siteText(1), false)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		other := []byte(strings.Replace(string(siteText(1)), `"shards": 8`, `"shards": 9`, 1))
		_, err = r.client().PublishOnce(background, 1, other, false)
		failure := r.failure(err, adminapi.CodeInvalid)
		r.Expect(failure.Problems[0].Field).To(gomega.Equal("services.logs.shards"))
	})

	ginkgo.It("exactly one of several competing publishers is accepted", func() {
		t := ginkgo.GinkgoTB()
		site := sitefake.New()
		const publishers = 8
		rigs := []*rig{joinRig(t, site, "a1"), joinRig(t, site, "b1")}
		for round := uint64(0); round < 5; round++ {
			var wait sync.WaitGroup
			errs := make([]error, publishers)
			for i := range publishers {
				client := rigs[i%len(rigs)].client()
				wait.Go(func() {
					// Pairs of publishers publish the same text.
					_, errs[i] = client.Publish(background, round, siteText(1+i/2*2), noWait)
				})
			}
			wait.Wait()
			accepted := 0
			for _, err := range errs {
				if err == nil {
					accepted++
					continue
				}
				failure := rigs[0].failure(err, adminapi.CodeConflict)
				rigs[0].Expect(failure.Conflict).To(gomega.Equal(&adminapi.Conflict{Base: round, InForce: round + 1, Known: true}))
			}
			rigs[0].Expect(accepted).To(gomega.Equal(1))
			rigs[0].Expect(site.View().SiteVersion()).To(gomega.Equal(round + 1))
		}
	})

	ginkgo.DescribeTable("an uncertain first attempt",
		func(c lostResponseCase) {
			r := newRig(ginkgo.GinkgoTB())
			r.appender.inject(c.faults...)
			first := true
			wait := func(context.Context, time.Duration) error {
				if first && c.between != nil {
					c.between(r)
				}
				first = false
				return nil
			}
			published, err := r.client().Publish(background, 0, siteText(1), wait)
			if c.code != "" {
				_ = r.failure(err, c.code)
			} else {
				r.Expect(err).NotTo(gomega.HaveOccurred())
			}
			r.Expect(published).To(gomega.Equal(c.want))
			r.Expect(r.site.View().SiteVersion()).To(gomega.Equal(c.version))
		},
		ginkgo.Entry("the response is lost after the append", lostResponseCase{[]logFault{lostResponse}, nil, adminapi.Published{Version: 1, InForce: 1, Repeated: true}, "", 1}),
		ginkgo.Entry("the write is lost", lostResponseCase{[]logFault{lostWrite}, nil, adminapi.Published{Version: 1, InForce: 1}, "", 1}),
		ginkgo.Entry("twice", lostResponseCase{[]logFault{lostResponse, lostResponse}, nil, adminapi.Published{Version: 1, InForce: 1, Repeated: true}, "", 1}),
		ginkgo.Entry("the log is unavailable, then available again", lostResponseCase{[]logFault{logUnavailable, logUnavailable}, nil, adminapi.Published{Version: 1, InForce: 1}, "", 1}),
		ginkgo.Entry("the response is lost and another operator publishes the next version", lostResponseCase{[]logFault{lostResponse}, publishOther(1), adminapi.Published{Version: 1, InForce: 2, Repeated: true}, "", 2}),
		ginkgo.Entry("the write is lost and another operator replaces the base", lostResponseCase{[]logFault{lostWrite}, publishOther(0), adminapi.Published{}, adminapi.CodeConflict, 1}),
		ginkgo.Entry("the log is unavailable and another operator replaces the base", lostResponseCase{[]logFault{logUnavailable}, publishOther(0), adminapi.Published{}, adminapi.CodeConflict, 1}),
	)

	ginkgo.It("the same text from another operator is a conflict", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		_, err := r.client().PublishOnce(background, 0, siteText(1), false)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = r.client().PublishOnce(background, 0, siteText(1), false)
		_ = r.failure(err, adminapi.CodeConflict)
		published, err := r.client().PublishOnce(background, 0, siteText(1), true)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(published.Repeated).To(gomega.BeTrue())
	})

	ginkgo.It("a retry at a node that did not observe the version reports it as unknown", func() {
		t := ginkgo.GinkgoTB()
		site := sitefake.New()
		first := joinRig(t, site, "a1")
		for base := range uint64(2) {
			_, err := first.client().PublishOnce(background, base, siteText(1+int(base)), false)
			first.Expect(err).NotTo(gomega.HaveOccurred())
		}
		late := joinRig(t, site, "b1") // starts when version 2 is in force
		_, err := late.client().PublishOnce(background, 0, siteText(1), true)
		failure := late.failure(err, adminapi.CodeConflict)
		late.Expect(failure.Conflict).To(gomega.Equal(&adminapi.Conflict{Base: 0, InForce: 2, Known: false}))
	})

	ginkgo.It("failures distinguish records proven not appended from unknown outcomes", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		r.appender.inject(logUnavailable, lostWrite)
		_, err := r.client().PublishOnce(background, 0, siteText(1), false)
		r.Expect(r.failure(err, adminapi.CodeNotAppended).RetryAfterMs).To(gomega.BeNumerically(">", 0))
		_, err = r.client().PublishOnce(background, 0, siteText(1), false)
		r.Expect(r.failure(err, adminapi.CodeOutcomeUnknown).RetryAfterMs).To(gomega.BeNumerically(">", 0))

		r.appender.inject(logUnavailable)
		response := r.send("POST", "/v1/site?base=0", "Bearer "+goodToken, string(siteText(1)))
		defer func() { _ = response.Body.Close() }()
		r.Expect(response.StatusCode).To(gomega.Equal(503))
		r.Expect(response.Header.Get("Retry-After")).To(gomega.Equal("2"))
	})

	ginkgo.It("the client reports an unknown outcome when its attempts are exhausted", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		r.appender.inject(lostWrite, logUnavailable, logUnavailable, logUnavailable, logUnavailable, logUnavailable)
		_, err := r.client().Publish(background, 0, siteText(1), noWait)
		var unknown *adminapi.UnknownError
		r.Expect(err).To(gomega.BeAssignableToTypeOf(unknown))
		r.appender.inject(logUnavailable, logUnavailable, logUnavailable, logUnavailable, logUnavailable)
		_, err = r.client().Publish(background, 0, siteText(1), noWait)
		_ = r.failure(err, adminapi.CodeNotAppended)
	})

	ginkgo.It("a lagging node does not treat a newer base as a conflict", func() {
		t := ginkgo.GinkgoTB()
		site := sitefake.New()
		ahead, behind := joinRig(t, site, "a1"), joinRig(t, site, "b1")
		behind.appender.Freeze()
		_, err := ahead.client().PublishOnce(background, 0, siteText(1), false)
		ahead.Expect(err).NotTo(gomega.HaveOccurred())
		looks := behind.appender.changedCalls.Load()
		done := make(chan error, 1)
		go func() {
			_, err := behind.client().PublishOnce(background, 1, siteText(2), false)
			done <- err
		}()
		behind.Eventually(behind.appender.changedCalls.Load, "10s").Should(gomega.BeNumerically(">", looks), "it checks the state")
		behind.appender.Thaw()
		site.Join("x", "a") // appends a record, so that waiters check the state again
		behind.Eventually(done, "10s").Should(gomega.Receive(gomega.BeNil()))
		behind.Expect(site.View().SiteVersion()).To(gomega.Equal(uint64(2)))
	})

	ginkgo.It("a base version that does not exist is a conflict", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		_, err := r.client().PublishOnce(background, 7, siteText(1), false)
		failure := r.failure(err, adminapi.CodeConflict)
		r.Expect(failure.Conflict).To(gomega.Equal(&adminapi.Conflict{Base: 7, InForce: 0, Known: true}))
	})
})

var background = context.Background()

// siteText returns a valid site configuration that is identified by its deadline.
func siteText(seconds int) []byte {
	return fmt.Appendf(nil, `{"services": {
"logs": {"keyed": true, "shards": 8, "concurrencyPerServer": 4, "connectionsPerServer": 100, "checksFencing": true, "deadline": "%ds"},
}}`, seconds)

}

func noWait(context.Context, time.Duration) error { return nil }

// lostResponseCase is a publication whose first attempts fail.
type lostResponseCase struct {
	faults  []logFault
	between func(*rig) // runs between the first and the second attempt
	want    adminapi.Published
	code    adminapi.Code // code of the failure, empty if the publication is accepted
	version uint64        // version in force at the end
}

// publishOther returns a step that publishes on a base as another operator.
func publishOther(base uint64) func(*rig) {
	return func(r *rig) {
		// Wait until this node has recorded the previous version.
		if base > 0 {
			r.Eventually(func() uint64 { return r.site.View().SiteVersion() }).Should(gomega.Equal(base))
			_, err := r.client().PublishOnce(background, 0, siteText(99), false)
			_ = r.failure(err, adminapi.CodeConflict)
		}
		_, err := r.client().PublishOnce(background, base, siteText(50), false)
		r.Expect(err).NotTo(gomega.HaveOccurred())
	}
}
