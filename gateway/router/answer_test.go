package router

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

// Guards against memory for answers that is not given back, so that a node refuses all answers after a while: at
// both nodes of a forwarded request, whether it is answered or not.
func TestMemoryOfAnswersIsGivenBack(t *testing.T) {
	const size = 100 << 10
	for name, status := range map[string]int{"answered": http.StatusOK, "failed and sent again": http.StatusInternalServerError} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newForwardingSite(t, site.Idempotent, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.WriteHeader(status)
				_, _ = w.Write(make([]byte, size))
			}, nil)
			for _, node := range append(s.others, s.origin) {
				memory := upstream.NewAnswerMemory(3 * size)
				node.client.SetAnswerMemory(memory)
				node.forwarding.client.SetAnswerMemory(memory)
			}
			for range 10 {
				answer := s.send(t.Context(), http.MethodGet, "/x", "")
				g.Expect(answer.Code).To(gomega.Equal(status))
				g.Expect(answer.Body.Len()).To(gomega.Equal(size))
			}
		})
	}
}
