package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guards against limits that are obeyed although they mean nothing, and against answers that lift a limit
// although the server has not run a request.
func TestLimitsOfAnswersAreObserved(t *testing.T) {
	const ignored, lifted = -1, -2
	rows := []struct {
		name   string
		values []string
		notRun bool
		want   float64
	}{
		{"a number", []string{"13.8"}, false, 13.8},
		{"zero", []string{"0"}, false, 0},
		{"spaces", []string{" 2 "}, false, 2},
		{"of a rejection", []string{"2"}, true, 2},
		{"none", nil, false, lifted},
		{"none, of a rejection", nil, true, ignored},
		{"negative", []string{"-1"}, false, ignored},
		{"not a number", []string{"NaN"}, false, ignored},
		{"infinite", []string{"inf"}, false, ignored},
		{"too large", []string{"1e999"}, false, ignored},
		{"empty", []string{""}, false, ignored},
		{"text", []string{"few"}, false, ignored},
		{"two numbers", []string{"1", "2"}, false, ignored},
		{"a list", []string{"1, 2"}, false, ignored},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got := float64(ignored)
			c := NewClient(Headers{Limit: "Limit", NotRun: "Not-Run", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}, "a")
			c.ObserveNotices(func(server site.ServerID, notice site.Notice) {
				g.Expect(server).To(gomega.Equal(site.ServerID("i")))
				limit := notice.Limit
				if limit == nil {
					return
				}
				g.Expect(limit.At).NotTo(gomega.BeZero())
				if got = limit.Rate; !limit.IsNamed {
					got = lifted
				}
			})
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
			if row.values != nil {
				response.Header["Limit"] = row.values
			}
			if row.notRun {
				response.Header.Set("Not-Run", "1")
			}
			c.readNotice("i", response, true)
			g.Expect(got).To(gomega.Equal(row.want))
		})
	}
}

// answering returns a server that sends the same bytes as the answer to each request. The first "%" stands for
// the ID of the request.
func answering(t *testing.T, answer string) site.Server {
	t.Helper()
	return serveRaw(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, strings.Replace(answer, "%", request.Header.Get("Request-Id"), 1))
			if strings.HasSuffix(answer, "broken") {
				return
			}
		}
	})
}

// noticeHeaders are the names of the headers in these tests.
var noticeHeaders = Headers{
	RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", NotRun: "Not-Run",
	Load: "Load", ParseLoad: func(text string) (site.Load, bool) { return site.Load{Running: 1, Slots: 4}, text == "1 of 4" },
	Limit: "Limit", Leaving: "Leaving", Rest: "Rest",
}

// exchanges are the kinds of exchange with a server. Each makes one.
var exchanges = map[string]func(ctx context.Context, c *Client, server site.Server) error{
	"request": func(ctx context.Context, c *Client, server site.Server) error {
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Header: http.Header{"Request-Id": {"1"}}, Remaining: time.Minute}
		_, err := c.Send(ctx, server, request)
		return err
	},
	"health check": func(ctx context.Context, c *Client, server site.Server) error {
		_, err := c.CheckHealth(ctx, server, "/health")
		return err
	},
	"health check on a new connection": func(ctx context.Context, c *Client, server site.Server) error {
		_, err := c.CheckHealthAnew(ctx, server, "/health")
		return err
	},
	"control call": func(ctx context.Context, c *Client, server site.Server) error {
		_, err := c.Control(ctx, server, ControlCall{Path: "/open"}, ControlCall{Path: "/call"})
		return err
	},
}

// Guards against an answer whose notice of its server is dropped: every part, by every kind of exchange, and
// for every answer that has a whole head.
func TestNoticesOfAllAnswersAreObserved(t *testing.T) {
	const notice = "Load: 1 of 4\r\nLimit: 13.8\r\nLeaving: 1\r\nRest: 7\r\n"
	answers := map[string]string{
		"success":                     "HTTP/1.1 200 OK\r\nRequest-Id: %\r\n" + notice + "Content-Length: 2\r\n\r\nok",
		"rejection":                   "HTTP/1.1 503 Full\r\nRequest-Id: %\r\nNot-Run: 1\r\n" + notice + "Content-Length: 0\r\n\r\n",
		"rejection that may have run": "HTTP/1.1 503 Full\r\nRequest-Id: %\r\n" + notice + "Content-Length: 0\r\n\r\n",
		"failure":                     "HTTP/1.1 500 Failed\r\nRequest-Id: %\r\n" + notice + "Content-Length: 0\r\n\r\n",
		"too many requests":           "HTTP/1.1 429 Slow\r\nRequest-Id: %\r\n" + notice + "Content-Length: 0\r\n\r\n",
		"body that breaks off":        "HTTP/1.1 200 OK\r\nRequest-Id: %\r\n" + notice + "Content-Length: 99\r\n\r\nbroken",
		"answer that comes late":      "HTTP/1.1 200 OK\r\nRequest-Id: of another request\r\n" + notice + "Content-Length: 2\r\n\r\nok",
		"body that never comes":       "HTTP/1.1 200 OK\r\nRequest-Id: %\r\n" + notice + "Content-Length: 99\r\n\r\n",
	}
	for kind, exchange := range exchanges {
		for name, answer := range answers {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				server := answering(t, answer)
				observed := make(chan site.Notice, 10)
				c := NewClient(noticeHeaders, "a")
				c.ObserveNotices(func(id site.ServerID, notice site.Notice) {
					g.Expect(id).To(gomega.Equal(server.ID))
					observed <- notice
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				done := make(chan error, 1)
				go func() { done <- exchange(ctx, c, server) }()
				var notice site.Notice
				g.Eventually(observed, 10*time.Second).Should(gomega.Receive(&notice))
				g.Expect(notice.Load).To(gomega.HaveValue(gomega.Equal(site.Load{Running: 1, Slots: 4})))
				g.Expect(notice.Limit.Rate).To(gomega.Equal(13.8))
				g.Expect(notice.Limit.IsNamed).To(gomega.BeTrue())
				g.Expect(notice.IsLeaving).To(gomega.BeTrue())
				if name == "rejection" || name == "rejection that may have run" {
					g.Expect(notice.Rest).To(gomega.BeNumerically(">=", 7*time.Second))
					g.Expect(c.Rests()).To(gomega.HaveKey(server.ID.Name()))
				} else {
					g.Expect(notice.Rest).To(gomega.BeZero(), "it is asked for by 503 alone")
				}
				cancel() // as for a hedge that lost
				g.Eventually(done, 10*time.Second).Should(gomega.Receive())
			})
		}
	}
}

// Guards against a 421 by a server at an address that is used again: it speaks for itself, not for the server
// that was expected there.
func TestNoticeOfAnotherServerIsNotObserved(t *testing.T) {
	for kind, exchange := range exchanges {
		t.Run(kind, func(t *testing.T) {
			server := answering(t, "HTTP/1.1 421 Other\r\nRequest-Id: %\r\nLimit: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
			c := NewClient(noticeHeaders, "a")
			c.ObserveNotices(func(site.ServerID, site.Notice) { t.Error("observed") })
			_ = exchange(t.Context(), c, server)
		})
	}
}

// Guards against servers that are believed to leave although their answers do not say so clearly. Each is
// logged once, and all are counted.
func TestLeavingIsObeyedOnlyIfSaidClearly(t *testing.T) {
	for name, row := range map[string]struct {
		values    []string
		isLeaving bool
		isInvalid bool
	}{
		"none":            {nil, false, false},
		"one":             {[]string{"1"}, true, false},
		"zero":            {[]string{"0"}, false, true},
		"text":            {[]string{"true"}, false, true},
		"empty":           {[]string{""}, false, true},
		"two values":      {[]string{"1", "1"}, false, true},
		"a list":          {[]string{"1, 1"}, false, true},
		"another number":  {[]string{"1.0"}, false, true},
		"a longer number": {[]string{"01"}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var log bytes.Buffer
			c := NewClient(noticeHeaders, "a")
			c.SetLogger(hclog.New(&hclog.LoggerOptions{Output: &log}))
			before := invalidLeavingCount.Value()
			for range 3 {
				response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
				if row.values != nil {
					response.Header["Leaving"] = row.values
				}
				g.Expect(c.readNotice("i", response, true).IsLeaving).To(gomega.Equal(row.isLeaving))
			}
			lines, counted := 0, int64(0)
			if row.isInvalid {
				lines, counted = 1, 3
			}
			g.Expect(strings.Count(log.String(), "event=2208")).To(gomega.Equal(lines))
			g.Expect(invalidLeavingCount.Value() - before).To(gomega.Equal(counted))
		})
	}
}
