package upstream

import (
	"net/http"
	"testing"

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
			c := NewClient(Headers{Limit: "Limit"}, "a")
			c.ObserveLimits(func(server site.ServerID, limit site.NamedLimit) {
				g.Expect(server).To(gomega.Equal(site.ServerID("i")))
				g.Expect(limit.At).NotTo(gomega.BeZero())
				if got = limit.Rate; !limit.IsNamed {
					got = lifted
				}
			})
			answer := &Answer{Header: http.Header{}}
			if row.values != nil {
				answer.Header["Limit"] = row.values
			}
			c.noteLimit("i", answer, !row.notRun)
			g.Expect(got).To(gomega.Equal(row.want))
		})
	}
}
