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

// Long heads that do not end are ended once all together exceed their bound; usual ones are not.
func TestLongHeadsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{conns: 100, heads: 40 << 10})
	usual, _ := newCallerPair(t, callers)
	usual.recordRead(usualHead, usualHead)
	var long []*callerConn
	for range 4 {
		c, _ := newCallerPair(t, callers)
		c.recordRead(usualHead+(10<<10), usualHead+(10<<10))
		long = append(long, c)
	}
	callers.connState(long[0], http.StateActive)
	g.Expect(callers.state().HeadBytes).To(gomega.Equal(int64(40 << 10)))
	long[3].recordRead(1, 1)
	g.Expect(isExpired(usual)).To(gomega.BeFalse())
	g.Expect(isExpired(long[0])).To(gomega.BeFalse(), "it has arrived whole")
	g.Expect(isExpired(long[1])).To(gomega.BeTrue(), "its last byte is the oldest")
	g.Expect(isExpired(long[3])).To(gomega.BeFalse())
	for _, c := range append(long, usual) {
		callers.connState(c, http.StateClosed)
	}
	g.Expect(callers.state().HeadBytes).To(gomega.BeZero())
}

// Connections that are being ended do not add up beyond the limit.
func TestEvictedConnectionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{conns: 8})
	for range 8 {
		newCallerPair(t, callers)
	}
	for range 2 {
		g.Expect(callers.hasRoom()).To(gomega.BeTrue())
		newCallerPair(t, callers)
	}
	g.Expect(callers.hasRoom()).To(gomega.BeFalse(), "two that are being ended are still open")
	g.Expect(callers.state().Open).To(gomega.Equal(10))
}
