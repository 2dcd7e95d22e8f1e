package router

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

func TestSweepsRestOnlyWithoutRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var inFlight atomic.Int64
	s := newSweeper()
	inFlight.Add(1)
	for range 2 * restAfter {
		g.Expect(s.rests(&inFlight)).To(gomega.BeFalse())
	}
	inFlight.Add(-1)
	for range restAfter - 1 {
		g.Expect(s.rests(&inFlight)).To(gomega.BeFalse())
	}
	g.Expect(s.rests(&inFlight)).To(gomega.BeTrue())
	g.Expect(s.wake).NotTo(gomega.Receive())

	inFlight.Add(1)
	s.stir()
	s.stir()
	g.Expect(s.wake).To(gomega.Receive())
	s.rouse()
	g.Expect(s.rests(&inFlight)).To(gomega.BeFalse())
}

// TestNoRequestIsLeftWithoutSweeps has requests come while the sweeper falls
// asleep, many times: each is either seen by it or wakes it.
func TestNoRequestIsLeftWithoutSweeps(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 2000 {
		var inFlight atomic.Int64
		s := newSweeper()
		s.idle = restAfter - 1
		var request sync.WaitGroup
		request.Go(func() {
			inFlight.Add(1)
			s.stir()
		})
		rests := s.rests(&inFlight)
		request.Wait()
		if rests {
			g.Expect(s.wake).To(gomega.Receive())
		}
	}
}
