package peer

import (
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/metrics"
	core "github.com/burdockspindle/burdockspindle/peer"
)

// kindForward is the kind of connections that carry forwarded requests of
// callers rather than control calls.
const kindForward core.Kind = "forward"

// Metrics of all nodes in this process, under "peer".
var (
	metricGroup           = metrics.New("peer")
	metricBytesSent       = metricGroup.Map("control_bytes_sent")
	metricBytesReceived   = metricGroup.Map("control_bytes_received")
	metricCalls           = metricGroup.Map("calls")
	metricCallFailures    = metricGroup.Map("call_failures")
	metricServed          = metricGroup.Map("calls_served")
	metricConnections     = metricGroup.Map("connections_opened")
	metricStalledReplaced = metricGroup.Map("silent_connections_replaced")
)

// traffic counts the bytes of one node by kind of call, as seen at the socket.
type traffic struct {
	byKind map[core.Kind]*kindTraffic // not changed after construction
}

type kindTraffic struct {
	sent, received atomic.Int64
	kind           core.Kind
}

func newTraffic() *traffic {
	t := &traffic{byKind: map[core.Kind]*kindTraffic{}}
	for _, kind := range append(core.Kinds(), kindForward) {
		t.byKind[kind] = &kindTraffic{kind: kind}
	}
	return t
}

func (t *traffic) of(kind core.Kind) *kindTraffic {
	if counted, exists := t.byKind[kind]; exists {
		return counted
	}
	return t.byKind[kindForward]
}

func (k *kindTraffic) addSent(n int64) {
	k.sent.Add(n)
	metricBytesSent.Add(string(k.kind), n)
}

func (k *kindTraffic) addReceived(n int64) {
	k.received.Add(n)
	metricBytesReceived.Add(string(k.kind), n)
}

// bytesDump is the traffic of one kind in the state dump.
type bytesDump struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

func (t *traffic) dump() map[core.Kind]bytesDump {
	rows := map[core.Kind]bytesDump{}
	for kind, counted := range t.byKind {
		row := bytesDump{Sent: counted.sent.Load(), Received: counted.received.Load()}
		if row != (bytesDump{}) {
			rows[kind] = row
		}
	}
	return rows
}
