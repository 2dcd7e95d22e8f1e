package planner

import (
	"context"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/membership"
	core "github.com/burdockspindle/burdockspindle/planner"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// maxReportingNodes is the maximum number of nodes whose reports are kept. A
// parent normally has at most FanIn children, but nodes report to the planner
// directly while their parents are unavailable.
const maxReportingNodes = 1024

// reportTimeout is the timeout for the delivery of one report to one node.
const reportTimeout = time.Second

// inbox keeps each node's latest load report.
type inbox struct {
	mu      sync.Mutex
	reports map[topo.NodeID]receivedReport
}

type receivedReport struct {
	at   time.Time
	body *bspb.ReportLoadRequest
}

func newInbox() *inbox { return &inbox{reports: map[topo.NodeID]receivedReport{}} }

// handle serves ReportLoad calls of peers.
func (b *inbox) handle(_ context.Context, report *bspb.ReportLoadRequest) error {
	metricReportsReceived.Add(1)
	b.put(report, time.Now())
	return nil
}

func (b *inbox) put(report *bspb.ReportLoadRequest, now time.Time) {
	id := topo.NodeID(report.GetSender().GetNode())
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.reports[id]; known || len(b.reports) < maxReportingNodes {
		b.reports[id] = receivedReport{at: now, body: report}
	}
}

// fresh returns the reports that are not older than maxAge and deletes the
// others.
func (b *inbox) fresh(now time.Time, maxAge time.Duration) []*bspb.ReportLoadRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*bspb.ReportLoadRequest
	for id, report := range b.reports {
		if now.Sub(report.at) > maxAge {
			delete(b.reports, id)
			continue
		}
		list = append(list, report.body)
	}
	return list
}

// collector returns a collector of the fresh reports for use in a decision.
func (b *inbox) collector(now time.Time, maxAge time.Duration) *load.Collector {
	collector := load.NewCollector(maxAge)
	for _, report := range b.fresh(now, maxAge) {
		collector.Add(now, report)
	}
	return collector
}

func (b *inbox) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.reports)
}

// reporter sends the load that this node and its children observed towards the
// planner.
type reporter struct{ module *Module }

// run sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	if r.module.recorder == nil {
		return
	}
	for {
		reporting := r.module.reporting()
		select {
		case <-ctx.Done():
			return
		case <-time.After(reporting.Interval):
			r.report(ctx, reporting)
		}
	}
}

// reporting returns the reporting parameters for the current number of nodes.
func (m *Module) reporting() core.Reporting {
	return core.ReportingFor(len(m.source.View().Nodes()))
}

func (r *reporter) report(ctx context.Context, reporting core.Reporting) {
	var stats []load.ServerStats
	if r.module.stats != nil {
		stats = r.module.stats.ServerStats()
	}
	own := r.module.recorder.Report(ctx, reporting.MaxBytes, stats)
	if own == nil {
		return // the recorder has stopped
	}
	own.Sender = r.module.caller.Sender()
	parents := core.Parents(r.module.roles.Candidates(membership.RolePlanner), r.module.identity.Node)
	if len(parents) == 0 {
		r.module.inbox.put(own, time.Now())
		return
	}
	merged := core.Merge(append(r.children(reporting), own), reporting.MaxBytes)
	r.send(ctx, parents, merged)
}

// children returns the fresh reports that other nodes sent to this node.
func (r *reporter) children(reporting core.Reporting) []*bspb.ReportLoadRequest {
	var list []*bspb.ReportLoadRequest
	for _, report := range r.module.inbox.fresh(time.Now(), reporting.MaxAge()) {
		if report.GetSender().GetNode() != string(r.module.identity.Node) {
			list = append(list, report)
		}
	}
	return list
}

// send delivers a report to the first parent that responds.
func (r *reporter) send(ctx context.Context, parents []topo.NodeID, report *bspb.ReportLoadRequest) {
	for _, parent := range parents {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.module.caller.ReportLoad(callCtx, parent, report)
		cancel()
		if err == nil {
			metricReportsSent.Add(1)
			return
		}
		metricReportsFailed.Add(1)
		eventReportFailed.Log(r.module.logger, "to", parent, "error", err)
	}
}
