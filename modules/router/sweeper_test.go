package router

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

func TestSweepsPauseOnlyWithoutRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var inFlight atomic.Int64
	s := newSweeper()
	inFlight.Add(1)
	for range 2 * idleSweepsBeforePause {
		g.Expect(s.pauseIfIdle(&inFlight)).To(gomega.BeFalse())
	}
	inFlight.Add(-1)
	for range idleSweepsBeforePause - 1 {
		g.Expect(s.pauseIfIdle(&inFlight)).To(gomega.BeFalse())
	}
	g.Expect(s.pauseIfIdle(&inFlight)).To(gomega.BeTrue())
	g.Expect(s.wake).NotTo(gomega.Receive())

	inFlight.Add(1)
	s.requestStarted()
	s.requestStarted()
	g.Expect(s.wake).To(gomega.Receive())
	s.resume()
	g.Expect(s.pauseIfIdle(&inFlight)).To(gomega.BeFalse())
}

// TestSweepsResumeForEveryRequest starts requests while the sweeper is about to
// pause, many times. The sweeper either observes each request or is woken by it.
func TestSweepsResumeForEveryRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 2000 {
		var inFlight atomic.Int64
		s := newSweeper()
		s.idle = idleSweepsBeforePause - 1
		var request sync.WaitGroup
		request.Go(func() {
			inFlight.Add(1)
			s.requestStarted()
		})
		paused := s.pauseIfIdle(&inFlight)
		request.Wait()
		if paused {
			g.Expect(s.wake).To(gomega.Receive())
		}
	}
}
