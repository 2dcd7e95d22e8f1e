package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// refusing returns a server that answers all with 503 and asks for a rest of a minute, and the number of requests that it
// got.
func refusing(t *testing.T) (site.Server, *atomic.Int64) {
	t.Helper()
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Rest", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	return site.Server{ID: "i", Address: strings.TrimPrefix(server.URL, "http://")}, &arrived
}

// Guards against requests and health checks that reach a server in the rest that it has asked for, whatever
// answer it was asked with. Control calls go on: the server would lose its keys without grants.
func TestNothingButControlCallsIsSentToARestingServer(t *testing.T) {
	for asked, ask := range exchanges {
		for kind, exchange := range exchanges {
			t.Run(kind+" after "+asked, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				server, arrived := refusing(t)
				c := NewClient(noticeHeaders, "a")
				_ = ask(t.Context(), c, server)
				before := arrived.Load()
				g.Expect(before).To(gomega.BeNumerically(">=", 1))
				err := exchange(t.Context(), c, server)
				if kind == "control call" {
					g.Expect(arrived.Load()).To(gomega.BeNumerically(">", before))
					return
				}
				var attempt *AttemptError
				var resting *RestingError
				g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
				g.Expect(attempt.Sent).To(gomega.BeFalse(), "it has not run")
				g.Expect(errors.As(err, &resting)).To(gomega.BeTrue())
				g.Expect(time.Until(resting.Until)).To(gomega.BeNumerically(">", 50*time.Second))
				g.Expect(arrived.Load()).To(gomega.Equal(before))
				next := server
				next.ID = "another incarnation"
				_ = exchange(t.Context(), c, next)
				g.Expect(arrived.Load()).To(gomega.Equal(before+1), "the rest is of one incarnation")
			})
		}
	}
}

// Guards against a request that is sent in the rest because it had been given its connection before.
func TestRestIsKeptByARequestThatIsConnecting(t *testing.T) {
	g := gomega.NewWithT(t)
	server, arrived := refusing(t)
	c := NewClient(noticeHeaders, "a")
	dial := c.dial
	isFirst := true
	c.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		if isFirst { // another request is refused meanwhile
			isFirst = false
			_ = exchanges["request"](t.Context(), c, server)
		}
		return dial(ctx, network, address)
	})
	err := exchanges["request"](t.Context(), c, server)
	var resting *RestingError
	g.Expect(errors.As(err, &resting)).To(gomega.BeTrue())
	g.Expect(arrived.Load()).To(gomega.Equal(int64(1)))
	g.Expect(c.HasIdle(server)).To(gomega.BeTrue(), "its connection is kept")
}

// Guards against rests that are obeyed although they mean nothing, against valid ones that are not, and against
// one that ends early.
func TestRestsThatServersAskFor(t *testing.T) {
	const date = "Sun, 06 Nov 1994 08:49:37 GMT"
	for name, row := range map[string]struct {
		status    int
		values    []string
		date      string
		want      time.Duration
		isInvalid bool
	}{
		"none":                             {503, nil, "", 0, false},
		"seconds":                          {503, []string{"3"}, "", 3 * time.Second, false},
		"fractions":                        {503, []string{"2.5"}, "", 2500 * time.Millisecond, false},
		"spaces":                           {503, []string{" 2 "}, "", 2 * time.Second, false},
		"an hour":                          {503, []string{"3600"}, "", time.Hour, false},
		"more than a duration holds":       {503, []string{"1e300"}, "", maxRest, false},
		"zero":                             {503, []string{"0"}, "", 0, false},
		"429":                              {429, []string{"3"}, "", 0, false},
		"200":                              {200, []string{"3"}, "", 0, false},
		"500":                              {500, []string{"3"}, "", 0, false},
		"a time of day":                    {503, []string{"Sun, 06 Nov 1994 08:49:40 GMT"}, date, 3 * time.Second, false},
		"a time of day that has passed":    {503, []string{"Sun, 06 Nov 1994 08:49:30 GMT"}, date, 0, false},
		"a time of day, no date beside it": {503, []string{"Sun, 06 Nov 1994 08:49:40 GMT"}, "", 0, true},
		"negative":                         {503, []string{"-1"}, "", 0, true},
		"not a number":                     {503, []string{"NaN"}, "", 0, true},
		"infinite":                         {503, []string{"inf"}, "", 0, true},
		"too large":                        {503, []string{"1e999"}, "", 0, true},
		"empty":                            {503, []string{""}, "", 0, true},
		"text":                             {503, []string{"soon"}, "", 0, true},
		"two values":                       {503, []string{"3", "4"}, "", 0, true},
		"a list":                           {503, []string{"3, 4"}, "", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var log bytes.Buffer
			c := NewClient(noticeHeaders, "a")
			c.SetLogger(hclog.New(&hclog.LoggerOptions{Output: &log}))
			invalidBefore := invalidRestCount.Value()
			for range 3 {
				response := &http.Response{StatusCode: row.status, Header: http.Header{}}
				if row.values != nil {
					response.Header["Rest"] = row.values
				}
				if row.date != "" {
					response.Header.Set("Date", row.date)
				}
				rest := c.readNotice("i", response, true).Rest
				if row.want == 0 {
					g.Expect(rest).To(gomega.BeZero())
					g.Expect(c.Rests()).To(gomega.BeEmpty())
					continue
				}
				g.Expect(rest).To(gomega.BeNumerically(">=", row.want), "never shorter")
				g.Expect(rest).To(gomega.BeNumerically("<=", row.want+maxRestJitter))
			}
			invalidLines, invalid, lines := 0, int64(0), 0
			if row.isInvalid {
				invalidLines, invalid = 1, 3
			}
			if row.want > 0 {
				lines = 1
			}
			g.Expect(strings.Count(log.String(), "event=2209")).To(gomega.Equal(invalidLines))
			g.Expect(strings.Count(log.String(), "event=2210")).To(gomega.Equal(lines))
			g.Expect(invalidRestCount.Value() - invalidBefore).To(gomega.Equal(invalid))
		})
	}
}

// Of several rests the one that ends last holds, and none lasts longer than it should.
func TestRestThatEndsLastHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var r rests
		now := time.Now()
		g.Expect(r.extend("i", now.Add(3*time.Second), now)).To(gomega.BeTrue())
		g.Expect(r.extend("i", now.Add(time.Second), now)).To(gomega.BeFalse(), "logged once")
		time.Sleep(2999 * time.Millisecond)
		g.Expect(r.check("i", time.Now())).NotTo(gomega.Succeed())
		g.Expect(r.check("k", time.Now())).To(gomega.Succeed())
		time.Sleep(time.Millisecond)
		g.Expect(r.check("i", time.Now())).To(gomega.Succeed())
		g.Expect(r.extend("i", time.Now().Add(time.Second), time.Now())).To(gomega.BeTrue(), "a new rest is logged")
		r.prune(time.Now())
		g.Expect(r.check("i", time.Now())).NotTo(gomega.Succeed())
		time.Sleep(time.Second)
		r.prune(time.Now())
		g.Expect(r.until).To(gomega.BeEmpty())
		g.Expect(r.loggedAt).To(gomega.BeEmpty())
	})
}

// Guards against a rest that ends early because the entry of its server has expired and is back.
func TestRestOutlastsTheEntryOfItsServer(t *testing.T) {
	g := gomega.NewWithT(t)
	server, arrived := refusing(t)
	c := NewClient(noticeHeaders, "a")
	_ = exchanges["request"](t.Context(), c, server)
	c.RetainServers(map[site.ServerID]site.Server{"k": {ID: "k"}})
	c.RetainServers(map[site.ServerID]site.Server{"i": server})
	g.Expect(exchanges["request"](t.Context(), c, server)).NotTo(gomega.Succeed())
	g.Expect(arrived.Load()).To(gomega.Equal(int64(1)))
}

// Guards against a rest that ends early because its server has restarted under its name.
func TestRestHoldsForTheNextIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	server, arrived := refusing(t)
	c := NewClient(noticeHeaders, "a")
	_ = exchanges["request"](t.Context(), c, server)
	server.ID = site.IncarnationID(server.ID.Name(), time.Now())
	g.Expect(exchanges["request"](t.Context(), c, server)).NotTo(gomega.Succeed())
	g.Expect(arrived.Load()).To(gomega.Equal(int64(1)))
}

// Guards against a node that keeps away from another one because that refuses callers with Retry-After.
func TestNodesThatRefuseDoNotAskForARest(t *testing.T) {
	g := gomega.NewWithT(t)
	server, arrived := refusing(t)
	c := NewNodeClient(noticeHeaders, "a")
	for range 3 {
		g.Expect(exchanges["request"](t.Context(), c, server)).To(gomega.Succeed())
	}
	g.Expect(arrived.Load()).To(gomega.Equal(int64(3)))
}
