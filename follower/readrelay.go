package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// maxLogDelay bounds how slow the log is taken to be when a relay is judged.
	maxLogDelay = time.Second
	// logDelayDecay is the part of that which is forgotten with each answer.
	logDelayDecay = 32
	// perMillion is what drift is counted in.
	perMillion = 1_000_000
)

// relayResponse is what makes a read through a relay count as contact.
type relayResponse struct {
	begun   time.Time     // when the relay was asked
	applied topo.Offset   // what the relay had applied
	age     time.Duration // of the relay's contact when the request arrived
	known   bool          // the relay had contact
}

// source returns where to read next. A node without contact, a relay, and a
// node whose relays all fail read the log.
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

// readRelay reads once through a relay. What is not plain entries that follow the
// state is left to a read of the log.
func (r *logReader) readRelay(ctx context.Context, relay topo.NodeID) {
	wait := r.holdTime()
	if r.lastSource != relay {
		wait = 0 // a new source answers at once, so that a silent one is found soon
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

// observeHold takes how long a relay held a read open: when it answered before the
// end of the hold, at most as long as it takes to renew its contact. A hold
// that was used up tells nothing, else holds would grow by themselves.
func (r *logReader) observeHold(took, wait time.Duration) {
	if wait == 0 {
		return
	}
	r.logDelay -= r.logDelay / logDelayDecay
	if took < wait {
		r.logDelay = max(r.logDelay, min(took-r.f.config.PollWait, maxLogDelay))
	}
}

// relayFailed passes a relay over; entries that cannot be applied are looked up in
// the log, which has what they need.
func (r *logReader) relayFailed(relay topo.NodeID, err error) {
	r.sources.noteFailure(r.f.now(), relay)
	if isUnusable(err) {
		r.sources.preferLog(r.f.now())
	}
}

// holdTime is how long a relay may hold a read open: a little longer than it takes
// the relay to renew its contact.
func (r *logReader) holdTime() time.Duration { return r.f.config.PollWait*3/2 + r.logDelay }

// isBehind reports whether an answer left contact older than a relay in order
// leaves it. Contact that a relay reads is at most two polls old.
func (r *logReader) isBehind(before, now time.Time) bool {
	contact := r.f.LastContact()
	limit := 2*r.f.config.PollWait + 2*r.logDelay
	if contact.After(before) {
		limit += r.grace()
	}
	return now.Sub(contact) > limit
}

// grace is how long an answer may take beyond the time it is held open.
func (r *logReader) grace() time.Duration { return r.f.config.PollWait / 2 }

// requestRelay reads from a relay. An answer without contact is a *NoContactError, one
// without the entries that follow the state a *GapError.
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

// setSource notes where the log is read from now on.
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

// contactOf returns the contact that a relay's answer proves: as much older
// than the asking as the relay's own contact was when the request arrived, by a
// clock that may be slower than this one.
func contactOf(response relayResponse, driftPPM int) time.Time {
	drift := response.age * time.Duration(2*driftPPM) / perMillion
	return response.begun.Add(-response.age - drift)
}

// isUnusable reports whether a relay's entries could not be applied, as at a
// rebase or where the relay has not what follows the state.
func isUnusable(err error) bool {
	var gap *GapError
	_, rebase := asRebase(err)
	return rebase || errors.As(err, &gap)
}
