package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// mostSlow bounds how slow the log is taken to be when a relay is judged.
	mostSlow = time.Second
	// slowDecay is the part of that which is forgotten with each answer.
	slowDecay = 32
	// perMillion is what drift is counted in.
	perMillion = 1_000_000
)

// relayAnswer is what makes a read through a relay count as contact.
type relayAnswer struct {
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
		r.sources.keep(r.relays)
	}
	return r.sources.choose(now, r.relays)
}

// follow reads once through a relay. What is not plain entries that follow the
// state is left to a read of the log.
func (r *logReader) follow(ctx context.Context, relay topo.NodeID) {
	wait := r.hold()
	if r.from != relay {
		wait = 0 // a new source answers at once, so that a silent one is found soon
	}
	r.turnTo(relay)
	begun, before := r.f.now(), r.f.LastContact()
	answer, err := r.ask(ctx, relay, wait)
	if err == nil {
		err = r.f.applyRelayed(ctx, begun, answer)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		count(metricRelayFailures, 1)
		eventPeerFailed.Log(r.f.config.Logger, "peer", relay, "error", err)
		r.giveUp(relay, err)
		return
	}
	if r.behind(before, r.f.now()) {
		count(metricRelayBehind, 1)
		r.giveUp(relay, nil)
		return
	}
	r.f.due.noteFirst(max(topo.Offset(answer.GetLogFirst()), r.f.due.logFirst()))
	r.learn(r.f.now().Sub(begun), wait)
	r.sources.worked()
	r.worked()
}

// learn takes how long a relay held a read open: when it answered before the
// end of the hold, at most as long as it takes to renew its contact. A hold
// that was used up tells nothing, else holds would grow by themselves.
func (r *logReader) learn(took, wait time.Duration) {
	if wait == 0 {
		return
	}
	r.slow -= r.slow / slowDecay
	if took < wait {
		r.slow = max(r.slow, min(took-r.f.config.PollWait, mostSlow))
	}
}

// giveUp passes a relay over; entries that cannot be applied are looked up in
// the log, which has what they need.
func (r *logReader) giveUp(relay topo.NodeID, err error) {
	r.sources.failed(r.f.now(), relay)
	if unusable(err) {
		r.sources.readLog(r.f.now())
	}
}

// hold is how long a relay may hold a read open: a little longer than it takes
// the relay to renew its contact.
func (r *logReader) hold() time.Duration { return r.f.config.PollWait*3/2 + r.slow }

// behind reports whether an answer left contact older than a relay in order
// leaves it. Contact that a relay reads is at most two polls old.
func (r *logReader) behind(before, now time.Time) bool {
	contact := r.f.LastContact()
	limit := 2*r.f.config.PollWait + 2*r.slow
	if contact.After(before) {
		limit += r.grace()
	}
	return now.Sub(contact) > limit
}

// grace is how long an answer may take beyond the time it is held open.
func (r *logReader) grace() time.Duration { return r.f.config.PollWait / 2 }

// ask reads from a relay. An answer without contact is a *NoContactError, one
// without the entries that follow the state a *GapError.
func (r *logReader) ask(ctx context.Context, relay topo.NodeID, wait time.Duration) (*bspb.ReadLogResponse, error) {
	from := r.f.applied() + 1
	limited, cancel := context.WithTimeout(ctx, wait+r.grace())
	defer cancel()
	answer, err := r.f.config.Peers.ReadLog(limited, relay, &bspb.ReadLogRequest{
		Sender:  r.f.config.Peers.Sender(),
		From:    uint64(from),
		Max:     readMax,
		WaitMs:  uint32(wait.Milliseconds()),
		Follows: true,
	})
	if err != nil {
		return nil, err
	}
	countSource(sourceRelay)
	if answer.ContactAgeMs == nil {
		return nil, &NoContactError{Relay: relay}
	}
	if topo.Offset(answer.GetApplied()) >= from && len(answer.GetEntries()) == 0 {
		return nil, &GapError{Applied: from - 1, Got: topo.Offset(answer.GetFirst())}
	}
	for _, entry := range answer.GetEntries() {
		count(metricRelayBytes, len(entry.GetData()))
	}
	return answer, nil
}

// turnTo notes where the log is read from now on.
func (r *logReader) turnTo(source topo.NodeID) {
	if r.from == source {
		return
	}
	eventSource.Log(r.f.config.Logger, "from", sourceName(r.from), "to", sourceName(source))
	count(metricSourceChanges, 1)
	r.from = source
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
func contactOf(answer relayAnswer, driftPPM int) time.Time {
	drift := answer.age * time.Duration(2*driftPPM) / perMillion
	return answer.begun.Add(-answer.age - drift)
}

// unusable reports whether a relay's entries could not be applied, as at a
// rebase or where the relay has not what follows the state.
func unusable(err error) bool {
	var gap *GapError
	_, rebase := asRebase(err)
	return rebase || errors.As(err, &gap)
}
