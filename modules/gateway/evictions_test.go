package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// At the limit, the connection that is needed least makes room: first one whose request has stalled, then one without a
// request, then an idle one.
func TestLeastNeededConnectionIsEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{conns: 5})
	long := time.Now().Add(-time.Minute)
	add := func(lastRead time.Time) (nodeEnd *callerConn, callerEnd net.Conn) {
		nodeEnd, callerEnd = newCallerPair(t, callers)
		nodeEnd.lastRead = lastRead
		return nodeEnd, callerEnd
	}
	inUseConn, _ := add(long)
	callers.connState(inUseConn, http.StateActive)
	idle, _ := add(long)
	callers.connState(idle, http.StateActive)
	callers.connState(idle, http.StateIdle)
	fresh, _ := add(time.Now())
	unusedConn, _ := add(long)
	stalled, callerEnd := add(long)
	_, err := io.WriteString(callerEnd, "GET")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = stalled.Read(make([]byte, 10))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stalled.lastRead = long

	order := []*callerConn{stalled, unusedConn, idle, fresh}
	for i, next := range order {
		for _, later := range order[i:] {
			g.Expect(isExpired(later)).To(gomega.BeFalse(), "connection %d", i)
		}
		g.Expect(callers.hasRoom()).To(gomega.BeTrue())
		g.Expect(isExpired(next)).To(gomega.BeTrue(), "connection %d", i)
		callers.connState(next, http.StateClosed)
		served, _ := add(long)
		callers.connState(served, http.StateActive)
	}
	g.Expect(callers.hasRoom()).To(gomega.BeFalse(), "all requests are being served")
	g.Expect(isExpired(inUseConn)).To(gomega.BeFalse())
	g.Expect(callers.state()).To(gomega.Equal(callerState{Open: 5, Limit: 5, evictions: evictions{Evicted: 4, Refused: 1}}))
}

// An idle connection on which a request has just arrived is not evicted.
func TestConnectionWithArrivedRequestIsNotEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{conns: 1})
	nodeEnd, callerEnd := newCallerPair(t, callers)
	callers.connState(nodeEnd, http.StateActive)
	callers.connState(nodeEnd, http.StateIdle)
	_, err := io.WriteString(callerEnd, "GET / HTTP/1.1\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(callers.hasRoom).Should(gomega.BeFalse())
	g.Expect(isExpired(nodeEnd)).To(gomega.BeFalse())
}
