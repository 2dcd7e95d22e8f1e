package broadcast

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestSignalWakesAllWaiters(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Signal
	s.Send() // without waiters
	first, second := s.Next(), s.Next()
	g.Expect(first).NotTo(gomega.BeClosed())
	s.Send()
	g.Expect(first).To(gomega.BeClosed())
	g.Expect(second).To(gomega.BeClosed())
	g.Expect(s.Next()).NotTo(gomega.BeClosed(), "it is open until the next Send")
}
