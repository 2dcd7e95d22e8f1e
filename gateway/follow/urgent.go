package follow

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/burdockspindle/burdockspindle/clock"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// urgentDelay is how long an urgent report waits for further observations: the requests of
// a server that ended are noted within a few milliseconds.
const urgentDelay = 20 * time.Millisecond

// RunUrgentReports sends crashes and answered requests to the followed node as soon as they
// are noted, until ctx ends. If a call fails, the next regular report repeats the crashes.
func (f *Follower) RunUrgentReports(ctx context.Context) {
	client := &http.Client{Transport: f.newTransport()}
	for {
		select {
		case <-f.Reports.Urgent():
		case <-ctx.Done():
			return
		}
		clock.Wait(ctx, urgentDelay)
		target := f.urgentTarget.Load()
		if target == nil || f.Reader.lessor.Load() {
			continue // the lessor processes its own reports
		}
		if report := f.Reports.DrainUrgent(); !report.isEmpty() {
			f.sendUrgent(ctx, client, *target, report)
		}
	}
}

// sendUrgent sends a report. It names no member, so that the other node does not treat it as
// a call of a follower.
func (f *Follower) sendUrgent(ctx context.Context, client *http.Client, address string, report Report) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	request := &bspb.FollowRequest{Crashes: report.Crashes, Answered: report.Answered}
	setKnownVersions(request, f.State.Now())
	if _, err := newGatewayClient(client, address).Follow(ctx, connect.NewRequest(request)); err != nil {
		eventPeerFailed.Log(f.Logger, "address", address, "cause", err)
	}
}
