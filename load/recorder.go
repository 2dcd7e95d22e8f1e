package load

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/ring"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// metrics holds the counters of all recorders of the process.
var metrics = expvar.NewMap("load")

// Names in metrics.
const (
	metricReports     = "reports"
	metricReportBytes = "report_bytes"
)

// Recorder is the Observer of a running node. Observe puts the observation on a
// bounded ring and returns; one goroutine, in Run, updates the Table. A full ring
// drops the observation and counts it, because later observations carry the same
// information.
type Recorder struct {
	table        *Table // used by the goroutine of Run only
	observations *ring.Ring[observation]
	requests     chan reportRequest
	done         chan struct{}
	latest       atomic.Pointer[Dump] // as of the last report
}

type observation struct {
	at      time.Time
	shard   topo.ShardID
	key     string
	server  topo.ServerID
	busy    time.Duration
	outcome serverapi.Outcome
}

type reportRequest struct {
	limit int
	stats []ServerStats
	reply chan *bspb.ReportLoadRequest
}

// Dump is the recorder's part of the state dump.
type Dump struct {
	Shards       int        `json:"shards"`
	Servers      int        `json:"servers"`
	Skipped      uint64     `json:"skipped"`
	Observations ring.Stats `json:"observations"`
}

// observationRing is the number of observations that the ring can hold.
const observationRing = 8192

// NewRecorder returns a recorder, which counts observations only while Run runs.
func NewRecorder(config Config) *Recorder {
	return &Recorder{
		table:        NewTable(config),
		observations: ring.New[observation]("load-observations", observationRing, ring.DropNew),
		requests:     make(chan reportRequest),
		done:         make(chan struct{}),
	}
}

// Observe implements Observer.
func (r *Recorder) Observe(
	shard topo.ShardID, key string, server topo.ServerID, busy time.Duration, outcome serverapi.Outcome,
) {
	item := observation{time.Now(), shard, key, server, busy, outcome}
	// Put on a ring with the policy DropNew never fails and never waits.
	_ = r.observations.Put(context.Background(), item)
}

// Run updates the table until the context ends. It must be called only once.
func (r *Recorder) Run(ctx context.Context) {
	defer close(r.done)
	shed := shedCounts{}
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-r.observations.Items():
			r.table.Observe(o.at, o.shard, o.key, o.server, o.busy, o.outcome)
		case request := <-r.requests:
			request.reply <- r.report(request.limit, shed, request.stats)
		}
	}
}

// Report returns a report of at most limit bytes; see Table.Report. stats are the
// router's counters, from which the requests shed before they were sent are taken.
// Report returns nil if Run or the context has ended.
func (r *Recorder) Report(ctx context.Context, limit int, stats []ServerStats) *bspb.ReportLoadRequest {
	request := reportRequest{limit: limit, stats: stats, reply: make(chan *bspb.ReportLoadRequest, 1)}
	select {
	case r.requests <- request:
	case <-ctx.Done():
		return nil
	case <-r.done:
		return nil
	}
	report := <-request.reply
	metrics.Add(metricReports, 1)
	metrics.Add(metricReportBytes, int64(proto.Size(report)))
	return report
}

// Dump returns the recorder's state as of its last report.
func (r *Recorder) Dump() Dump {
	latest := Dump{}
	if d := r.latest.Load(); d != nil {
		latest = *d
	}
	latest.Observations = r.observations.Stats()
	return latest
}

// report builds a report. It runs in the goroutine of Run.
func (r *Recorder) report(limit int, shed shedCounts, stats []ServerStats) *bspb.ReportLoadRequest {
	now := time.Now()
	shed.add(now, r.table, stats)
	r.table.Expire(now)
	r.latest.Store(&Dump{
		Shards: len(r.table.shards), Servers: len(r.table.servers), Skipped: r.table.Skipped(),
	})
	return r.table.Report(now, limit)
}

// shedCounts holds the router's last known count of shed requests of each server.
type shedCounts map[topo.ServerID]uint64

// add adds the requests that were shed since the previous call to the table.
func (s shedCounts) add(now time.Time, table *Table, stats []ServerStats) {
	for _, server := range stats {
		if before := s[server.Server]; server.Shed > before {
			table.Shed(now, server.Server, server.Shed-before)
		}
		s[server.Server] = server.Shed
	}
}
