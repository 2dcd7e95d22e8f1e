package platformlog_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/platlog/logwire"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/standin/platformlog"
)

const records = logwire.PathPrefix + "s" + logwire.PathRecords

func call(service *platformlog.Service, method, target, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	service.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

func refusal(t *testing.T, recorder *httptest.ResponseRecorder) logwire.ErrorResponse {
	t.Helper()
	var body logwire.ErrorResponse
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	return body
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	service := platformlog.New(platformlog.Config{})
	large := `{"data":"` + strings.Repeat("AAAA", logwire.MaxRecordBytes/3+1) + `"}`
	cases := []struct {
		name, method, target, body string
		status                     int
		code                       logwire.Code
	}{
		{"body not JSON", "POST", records, "{", 400, logwire.CodeInvalid},
		{"data not base64", "POST", records, `{"data":"?"}`, 400, logwire.CodeInvalid},
		{"record too large", "POST", records, large, 413, logwire.CodeTooLarge},
		{"body too large", "POST", records, large + strings.Repeat(" ", 4*logwire.MaxRecordBytes), 413, logwire.CodeTooLarge},
		{"offset not a number", "GET", records + "?from=x", "", 400, logwire.CodeInvalid},
		{"negative wait", "GET", records + "?wait_ms=-1", "", 400, logwire.CodeInvalid},
		{"unknown fault", "POST", platformlog.PathFaults, `{"fire":true}`, 400, logwire.CodeInvalid},
		{"unknown outage", "POST", platformlog.PathFaults, `{"reads":"fire"}`, 400, logwire.CodeInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			recorder := call(service, c.method, c.target, c.body)
			g.Expect(recorder.Code).To(gomega.Equal(c.status))
			body := refusal(t, recorder)
			g.Expect(body.Code).To(gomega.Equal(c.code))
			g.Expect(*body.Appended).To(gomega.BeFalse())
			_, end := service.Stream("s").Bounds()
			g.Expect(end).To(gomega.BeEquivalentTo(1))
		})
	}
}

func TestAppendsPerSecondAndRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		service := platformlog.New(platformlog.Config{
			Retention:        memlog.Retention{Records: 3},
			AppendsPerSecond: 2,
		})
		statuses := func() (got []int) {
			for range 3 {
				got = append(got, call(service, "POST", records, `{"data":"YQ=="}`).Code)
			}
			return got
		}
		g.Expect(statuses()).To(gomega.Equal([]int{200, 200, 429}))
		g.Expect(call(service, "POST", records, `{"data":""}`).Header().Get("Retry-After")).To(gomega.Equal("1"))
		time.Sleep(time.Second)
		g.Expect(statuses()).To(gomega.Equal([]int{200, 200, 429}))
		gone := call(service, "GET", records+"?from=1", "")
		g.Expect(gone.Code).To(gomega.Equal(http.StatusGone))
		g.Expect(refusal(t, gone).First).To(gomega.BeEquivalentTo(2))
	})
}
