package gateway

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestIdleConnectionsAreClosedAfterTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		closer := newIdleCloser(func() time.Duration { return 15 * time.Second })
		here, there := net.Pipe()
		isClosed := make(chan struct{})
		go func() {
			_, _ = there.Read(make([]byte, 1)) // ends with the connection
			close(isClosed)
		}()
		closed := func() bool {
			synctest.Wait()
			select {
			case <-isClosed:
				return true
			default:
				return false
			}
		}
		closer.connState(here, http.StateIdle)
		time.Sleep(14 * time.Second)
		closer.connState(here, http.StateActive)
		time.Sleep(time.Minute)
		g.Expect(closed()).To(gomega.BeFalse(), "a request was running")
		closer.connState(here, http.StateIdle)
		time.Sleep(14 * time.Second)
		g.Expect(closed()).To(gomega.BeFalse())
		time.Sleep(2 * time.Second)
		g.Expect(closed()).To(gomega.BeTrue())
		closer.connState(here, http.StateClosed)
	})
}
