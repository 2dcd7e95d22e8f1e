package peer

import (
	"expvar"
	"sync/atomic"

	core "github.com/burdockspindle/burdockspindle/peer"
)

// kindForward counts connections on which callers' requests are forwarded
// rather than control calls made.
const kindForward core.Kind = "forward"

// Metrics of all nodes in this process, under "peer".
var (
	metrics              = expvar.NewMap("peer")
	metricBytesSent      = newKindMap("control_bytes_sent")
	metricBytesReceived  = newKindMap("control_bytes_received")
	metricCalls          = newKindMap("calls")
	metricCallFailures   = newKindMap("call_failures")
	metricServed         = newKindMap("calls_served")
	metricConnections    = newKindMap("connections_opened")
	metricSilentReplaced = newKindMap("silent_connections_replaced")
)

func newKindMap(name string) *expvar.Map {
	byKind := new(expvar.Map).Init()
	metrics.Set(name, byKind)
	return byKind
}

// traffic counts the bytes of one node by kind of call, as seen at the socket.
type traffic struct {
	byKind map[core.Kind]*kindTraffic // fixed when made
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

// bytesDump is one kind's row in the state dump.
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
