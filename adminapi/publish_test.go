package adminapi_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/spectest"
)

var _ = ginkgo.Describe("client of the administration API", func() {
	ginkgo.DescribeTable("attempts to publish",
		func(c publishCase) {
			g := gomega.NewWithT(ginkgo.GinkgoTB())
			var retries attempts
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := c.steps[retries.record(r)]
				if now.cut {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(now.status)
				_, _ = w.Write([]byte(now.body))
			}))
			defer server.Close()
			// Without keep-alive connections net/http never resends a request itself.
			client, err := adminapi.NewClient(server.URL, "t", "", &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var waits []time.Duration
			_, err = client.Publish(context.Background(), 0, []byte("{}"), func(_ context.Context, wait time.Duration) error {
				waits = append(waits, wait)
				return nil
			})
			g.Expect(retries.list()).To(gomega.Equal(c.retries))
			var unknown *adminapi.UnknownError
			g.Expect(errors.As(err, &unknown)).To(gomega.Equal(c.unknown), "%v", err)
			var failure *adminapi.Failure
			if c.code != "" {
				g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
				g.Expect(failure.Code).To(gomega.Equal(c.code))
			}
			if c.waits != nil {
				g.Expect(waits).To(gomega.Equal(c.waits))
			}
		},
		ginkgo.Entry("accepted at once", publishCase{[]step{accepted}, "0", false, "", nil}),
		ginkgo.Entry("proven not appended is no retry", publishCase{[]step{notAppended, accepted}, "00", false, "", []time.Duration{5 * time.Second}}),
		ginkgo.Entry("connection cut", publishCase{[]step{cut, accepted}, "01", false, "", []time.Duration{time.Second}}),
		ginkgo.Entry("unknown, then not appended", publishCase{[]step{unknownFate, notAppended, accepted}, "011", false, "", []time.Duration{time.Second, 5 * time.Second}}),
		ginkgo.Entry("something else answered", publishCase{[]step{notTheAPI, accepted}, "01", false, "", []time.Duration{time.Second}}),
		ginkgo.Entry("conflict is final", publishCase{[]step{conflict}, "0", false, adminapi.CodeConflict, nil}),
		ginkgo.Entry("conflict after an unknown attempt is final", publishCase{[]step{unknownFate, conflict}, "01", false, adminapi.CodeConflict, []time.Duration{time.Second}}),
		ginkgo.Entry("never appended", publishCase{[]step{notAppended, notAppended, notAppended, notAppended, notAppended}, "00000", false, adminapi.CodeNotAppended, nil}),
		ginkgo.Entry("never known", publishCase{[]step{cut, notAppended, notAppended, notAppended, notAppended}, "01111", true, "", nil}),
	)

	ginkgo.It("a node that cannot be reached got nothing", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		client, err := adminapi.NewClient(server.URL, "t", "", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = client.Publish(context.Background(), 0, nil, func(context.Context, time.Duration) error { return nil })
		var call *adminapi.CallError
		g.Expect(errors.As(err, &call)).To(gomega.BeTrue())
		g.Expect(call.Sent).To(gomega.BeFalse())
		var unknown *adminapi.UnknownError
		g.Expect(errors.As(err, &unknown)).To(gomega.BeFalse())
	})

	ginkgo.It("addresses", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		for _, bad := range []string{"", "127.0.0.1:7070", "ftp://x", "http://", "http://%zz"} {
			_, err := adminapi.NewClient(bad, "t", "", nil)
			var address *adminapi.AddressError
			g.Expect(errors.As(err, &address)).To(gomega.BeTrue(), bad)
		}
	})
})

func TestSpecs(t *testing.T) { spectest.Run(t, "adminapi") }

// publishCase is a publication with the server's behaviour for each attempt.
type publishCase struct {
	steps   []step
	retries string // for each attempt "1" if it is marked as a retry, else "0"
	unknown bool   // whether the error reports that the text may have been accepted
	code    adminapi.Code
	waits   []time.Duration
}

// step is the server's behaviour for one attempt.
type step struct {
	cut    bool // the connection ends without a response
	status int
	body   string
}

var (
	cut         = step{cut: true}
	accepted    = step{status: 200, body: `{"version": 1, "inForce": 1}`}
	notAppended = step{status: 503, body: `{"code": "not-appended", "retryAfterMs": 5000}`}
	unknownFate = step{status: 503, body: `{"code": "fate-unknown"}`}
	conflict    = step{status: 409, body: `{"code": "conflict"}`}
	notTheAPI   = step{status: 502, body: `<html>bad gateway</html>`}
)

// attempts records for each request whether it is marked as a retry.
type attempts struct {
	mu   sync.Mutex
	seen string
}

// record records a request and returns the number of requests before it.
func (a *attempts) record(r *http.Request) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	mark := "0"
	if r.URL.Query().Get(adminapi.QueryRetry) == "1" {
		mark = "1"
	}
	a.seen += mark
	return len(a.seen) - 1
}

func (a *attempts) list() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen
}
