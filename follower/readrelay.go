package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// maxLogDelay bounds the estimated delay of the log that relays are allowed.
	maxLogDelay = time.Second
	// logDelayDecay is the divisor by which the estimate decays per response.
	logDelayDecay = 32
	// perMillion is the unit of clock drift.
	perMillion = 1_000_000
)

// relayResponse has the details of a relay read that prove contact with the log.
type relayResponse struct {
	begun   time.Time     // when the request was sent
	applied topo.Offset   // last record that the relay had applied
	age     time.Duration // age of the relay's contact when the request arrived
	known   bool          // the relay had contact
}

// source returns the source of the next read. A node without contact, a relay,
// and a node whose relays all fail read the log.
func (r *logReader) source(now time.Time) topo.NodeID {
	f := r.f
	if f.config.Relays == 0 || f.config.Peers == nil || f.LastContact().IsZero() {
		return logSource
	}
	if view := f.View(); view != r.seen {
		r.seen = view
		r.relays = relaysFor(view, f.config.Zone, f.config.Relays, f.config.Node)
		r.sources.retain(r.relays)
	}
	return r.sources.choose(now, r.relays)
}

// readRelay reads once through a relay. After a response that cannot be applied,
// the log is read instead.
func (r *logReader) readRelay(ctx context.Context, relay topo.NodeID) {
	wait := r.holdTime()
	if r.lastSource != relay {
		wait = 0 // a new source responds at once, so that an unresponsive one is detected soon
	}
	r.setSource(relay)
	begun, before := r.f.now(), r.f.LastContact()
	response, err := r.requestRelay(ctx, relay, wait)
	if err == nil {
		err = r.f.applyRelayed(ctx, begun, response)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		count(metricRelayFailures, 1)
		eventPeerFailed.Log(r.f.config.Logger, "peer", relay, "error", err)
		r.relayFailed(relay, err)
		return
	}
	if r.isBehind(before, r.f.now()) {
		count(metricRelayBehind, 1)
		r.relayFailed(relay, nil)
		return
	}
	r.f.schedule.noteFirst(max(topo.Offset(response.GetLogFirst()), r.f.schedule.logFirst()))
	r.observeHold(r.f.now().Sub(begun), wait)
	r.sources.noteSuccess()
	r.noteSuccess()
}

// observeHold updates the log delay from the time for which a relay held a read
// open. A relay that responds before the end of the hold needed at most that time
// to renew its contact. An expired hold is not evidence of a slow log; otherwise
// holds would grow by themselves.
func (r *logReader) observeHold(took, wait time.Duration) {
	if wait == 0 {
		return
	}
	r.logDelay -= r.logDelay / logDelayDecay
	if took < wait {
		r.logDelay = max(r.logDelay, min(took-r.f.config.PollWait, maxLogDelay))
	}
}

// relayFailed avoids a relay after a failure. When its entries could not be
// applied, the log is read, because it has the missing records.
func (r *logReader) relayFailed(relay topo.NodeID, err error) {
	r.sources.noteFailure(r.f.now(), relay)
	if isUnusable(err) {
		r.sources.preferLog(r.f.now())
	}
}

// holdTime returns how long a relay may hold a read open: slightly longer than
// the relay takes to renew its contact.
func (r *logReader) holdTime() time.Duration { return r.f.config.PollWait*3/2 + r.logDelay }

// isBehind reports whether contact after a response is older than a healthy relay
// leaves it. The contact of a relay is at most two polls old.
func (r *logReader) isBehind(before, now time.Time) bool {
	contact := r.f.LastContact()
	limit := 2*r.f.config.PollWait + 2*r.logDelay
	if contact.After(before) {
		limit += r.grace()
	}
	return now.Sub(contact) > limit
}

// grace returns how long a response may take beyond the hold.
func (r *logReader) grace() time.Duration { return r.f.config.PollWait / 2 }

// requestRelay reads from a relay. A response without contact is a
// *NoContactError, one without the entries that follow the state a *GapError.
func (r *logReader) requestRelay(ctx context.Context, relay topo.NodeID, wait time.Duration) (*bspb.ReadLogResponse, error) {
	from := r.f.applied() + 1
	limited, cancel := context.WithTimeout(ctx, wait+r.grace())
	defer cancel()
	response, err := r.f.config.Peers.ReadLog(limited, relay, &bspb.ReadLogRequest{
		Sender:  r.f.config.Peers.Sender(),
		From:    uint64(from),
		Max:     maxReadEntries,
		WaitMs:  uint32(wait.Milliseconds()),
		Follows: true,
	})
	if err != nil {
		return nil, err
	}
	countSource(sourceRelay)
	if response.ContactAgeMs == nil {
		return nil, &NoContactError{Relay: relay}
	}
	if topo.Offset(response.GetApplied()) >= from && len(response.GetEntries()) == 0 {
		return nil, &GapError{Applied: from - 1, Got: topo.Offset(response.GetFirst())}
	}
	for _, entry := range response.GetEntries() {
		count(metricRelayBytes, len(entry.GetData()))
	}
	return response, nil
}

// setSource stores the source of log reads and logs a change.
func (r *logReader) setSource(source topo.NodeID) {
	if r.lastSource == source {
		return
	}
	eventSourceChanged.Log(r.f.config.Logger, "from", sourceName(r.lastSource), "to", sourceName(source))
	count(metricSourceChanges, 1)
	r.lastSource = source
	r.f.source.Store(&source)
}

func sourceName(source topo.NodeID) string {
	if source == logSource {
		return sourceLog
	}
	return string(source)
}

// contactOf returns the contact that a relay's response proves: the time of the
// request, minus the age of the relay's contact when the request arrived. The
// drift allowance covers a relay clock that is slower than this one.
func contactOf(response relayResponse, driftPPM int) time.Time {
	drift := response.age * time.Duration(2*driftPPM) / perMillion
	return response.begun.Add(-response.age - drift)
}

// isUnusable reports whether a relay's entries could not be applied, because of
// a rebase or because they do not follow the state.
func isUnusable(err error) bool {
	var gap *GapError
	_, rebase := asRebase(err)
	return rebase || errors.As(err, &gap)
}
