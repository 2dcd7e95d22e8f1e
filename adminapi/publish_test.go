package adminapi_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/adminapi"
)

// step is how the server treats one attempt.
type step struct {
	cut    bool // the connection ends without an answer
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

// attempts notes of each request whether it said that it is a retry.
type attempts struct {
	mu   sync.Mutex
	seen string
}

// add returns how many requests came before this one.
func (a *attempts) add(r *http.Request) int {
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

func TestPublishAttempts(t *testing.T) {
	cases := []struct {
		name    string
		steps   []step
		retries string // for each attempt 0 or 1: does it say that it is a retry
		unknown bool   // the error says that the text may have been accepted
		code    adminapi.Code
		waits   []time.Duration
	}{
		{"accepted at once", []step{accepted}, "0", false, "", nil},
		{"proven not appended is no retry", []step{notAppended, accepted}, "00", false, "", []time.Duration{5 * time.Second}},
		{"connection cut", []step{cut, accepted}, "01", false, "", []time.Duration{time.Second}},
		{"unknown, then not appended", []step{unknownFate, notAppended, accepted}, "011", false, "", []time.Duration{time.Second, 5 * time.Second}},
		{"something else answered", []step{notTheAPI, accepted}, "01", false, "", []time.Duration{time.Second}},
		{"conflict is final", []step{conflict}, "0", false, adminapi.CodeConflict, nil},
		{"conflict after an unknown attempt is final", []step{unknownFate, conflict}, "01", false, adminapi.CodeConflict, []time.Duration{time.Second}},
		{"never appended", []step{notAppended, notAppended, notAppended, notAppended, notAppended}, "00000", false, adminapi.CodeNotAppended, nil},
		{"never known", []step{cut, notAppended, notAppended, notAppended, notAppended}, "01111", true, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var retries attempts
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := c.steps[retries.add(r)]
				if now.cut {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(now.status)
				_, _ = w.Write([]byte(now.body))
			}))
			defer server.Close()
			// Without kept connections net/http never repeats a request itself.
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
		})
	}
}

func TestANodeThatCannotBeReachedGotNothing(t *testing.T) {
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
}

func TestAddresses(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, bad := range []string{"", "127.0.0.1:7070", "ftp://x", "http://", "http://%zz"} {
		_, err := adminapi.NewClient(bad, "t", "", nil)
		var address *adminapi.AddressError
		g.Expect(errors.As(err, &address)).To(gomega.BeTrue(), bad)
	}
}
