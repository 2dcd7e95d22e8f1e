package router

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/hashicorp/go-hclog"
)

// Guards against a node that passes on, by way of another node, an answer which says that its server leaves, and
// does not know of it.
func TestForwardedAnswerTellsThatItsServerLeaves(t *testing.T) {
	for name, row := range map[string]struct {
		value     string
		isLeaving bool
	}{
		"it leaves":            {"1", true},
		"it does not say so":   {"", false},
		"it says it unclearly": {"yes", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newForwardingSite(t, site.Idempotent, 1, func(w http.ResponseWriter, r *http.Request) {
				if row.value != "" {
					w.Header().Set("Leaving", row.value)
				}
				answerRequest(w, r)
			}, nil)
			for _, node := range []*Router{s.origin, s.others[0]} {
				node.client.ObserveNotices(follow.ObserveNotices(node.state, hclog.NewNullLogger()))
			}
			answer := s.send(t.Context(), http.MethodGet, "/x", "")
			g.Expect(answer.Code).To(gomega.Equal(http.StatusCreated))
			g.Expect(answer.Header().Get("Leaving")).To(gomega.Equal(row.value), "it is passed on")
			g.Expect(answer.Header()).NotTo(gomega.HaveKey(forward.Header))
			for _, node := range []*Router{s.origin, s.others[0]} {
				g.Expect(node.state.Now().Leaving.Contains("i")).To(gomega.Equal(row.isLeaving))
			}
		})
	}
}
