package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// sharedLog is the platform's log, in one zone, and the state derived from
// it. Every node would compute the same state from the same records, so the state is
// kept only once, and each node receives its views after its read delay.
type sharedLog struct {
	site      *site
	state     *state.State
	view      *state.View
	sequences map[string]uint64
	appends   int
}

func newSharedLog(s *site) *sharedLog {
	return &sharedLog{site: s, state: state.New(), sequences: map[string]uint64{}}
}

// append writes a record for a node. When the node has read it back, done is
// called with its offset and effect.
func (l *sharedLog) append(n *node, rec *bspb.Record, done func(state.Result)) {
	l.appends++
	l.sign(rec, record.Writer(n.id, n.boot))
	l.site.clock.after(appendDelay+l.site.delay(n.zone, l.zone()), func() {
		result := l.apply(rec)
		view := l.view
		for _, reader := range l.site.nodeList {
			l.site.clock.after(l.readDelay(reader), func() { reader.applyView(view) })
		}
		l.site.clock.after(l.readDelay(n), func() {
			if n.up {
				done(result)
			}
		})
	})
}

// apply appends and applies a record immediately and creates the new view.
func (l *sharedLog) apply(rec *bspb.Record) state.Result {
	before := l.view
	result := l.state.Apply(l.state.Applied()+1, rec)
	l.view = l.state.Freeze().View()
	l.site.measure.applied(before, rec, result)
	return result
}

func (l *sharedLog) sign(rec *bspb.Record, writer string) {
	l.sequences[writer]++
	rec.Format = record.Format
	rec.Writer = writer
	rec.Sequence = l.sequences[writer]
}

// setup writes a record before the run starts.
func (l *sharedLog) setup(rec *bspb.Record) {
	l.sign(rec, "setup@1")
	if result := l.apply(rec); !result.Accepted {
		panic(result.Conflict)
	}
}

// zone returns the zone of the log: the first zone that is not lost.
func (l *sharedLog) zone() topo.Zone {
	for _, zone := range l.site.deployment.Zones {
		if !l.site.lostZones[zone] {
			return zone
		}
	}
	return l.site.deployment.Zones[0]
}

func (l *sharedLog) readDelay(n *node) time.Duration {
	return readDelay + l.site.delay(l.zone(), n.zone)
}

// poll makes every node read the end of the log, which confirms that its view is
// current as of the start of the read.
func (l *sharedLog) poll() {
	asked := l.site.clock.now
	for _, n := range l.site.nodeList {
		l.site.clock.after(2*l.readDelay(n), func() {
			if !n.up {
				return
			}
			n.seenAt = asked
			for _, m := range n.members {
				m.observe()
			}
		})
	}
}
