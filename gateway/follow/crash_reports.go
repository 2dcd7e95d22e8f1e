package follow

import (
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// crashResendTime is how long a crash is repeated in reports, because a report is lost
	// if its call fails. Repeated reports of a crash count once.
	crashResendTime = 2 * time.Second
	// maxCrashReports bounds the crashes in a report.
	maxCrashReports = 512
	// maxAnsweredReports bounds the answered requests in a report.
	maxAnsweredReports = 512
)

// crash is a request that was in flight at a server when it ended.
type crash struct {
	server  site.ServerID
	request quarantine.Fingerprint
	caller  quarantine.Caller
}

// crashState is the state of a crash in the reports.
type crashState struct {
	notedAt time.Time
	isSent  bool
}

// Urgent returns a channel that receives when there are crashes or answered requests to
// report. They are not held back until the next regular report, because a request that
// crashes servers returns within milliseconds.
func (r *Reports) Urgent() <-chan struct{} { return r.urgent }

// signalUrgent wakes the sender of urgent reports. A signal that is pending covers this one.
func (r *Reports) signalUrgent() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// NoteCrash records that a server ended while it had a request.
func (r *Reports) NoteCrash(server site.ServerID, request quarantine.Fingerprint, caller quarantine.Caller) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteCrash(crash{server, request, caller}, time.Now())
}

// noteCrash adds a crash that was noted at a time. The caller holds the lock.
func (r *Reports) noteCrash(c crash, at time.Time) {
	if _, exists := r.crashes[c]; !exists && len(r.crashes) < maxCrashReports {
		r.crashes[c] = crashState{notedAt: at}
		r.signalUrgent()
	}
}

// NoteAnswer records that a server has answered a suspected request.
func (r *Reports) NoteAnswer(request quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteAnswer(request)
}

// noteAnswer is NoteAnswer for a caller that holds the lock.
func (r *Reports) noteAnswer(request quarantine.Fingerprint) {
	if len(r.answered) < maxAnsweredReports {
		r.answered[request] = true
		r.signalUrgent()
	}
}

// mergeCrashes adds the crashes and answered requests of another node's report. They are
// sent once, so that two nodes that follow each other for a moment do not repeat them for
// ever. The caller holds the lock.
func (r *Reports) mergeCrashes(report Report) {
	sentOnce := time.Now().Add(-crashResendTime)
	report.EachCrash(func(server site.ServerID, request quarantine.Fingerprint, caller quarantine.Caller) {
		r.noteCrash(crash{server, request, caller}, sentOnce)
	})
	report.EachAnswered(r.noteAnswer)
}

// DrainUrgent returns the crashes and answered requests that were not sent yet.
func (r *Reports) DrainUrgent() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var report Report
	r.drainCrashes(&report, time.Now(), false)
	return report
}

// drainCrashes moves the crashes and answered requests to a report. Crashes are kept for
// crashResendTime and repeated if resend is set. The caller holds the lock.
func (r *Reports) drainCrashes(report *Report, now time.Time, resend bool) {
	byServer := map[site.ServerID]*bspb.CrashReport{}
	for c, state := range r.crashes {
		if state.isSent && !resend {
			continue
		}
		message := byServer[c.server]
		if message == nil {
			message = &bspb.CrashReport{Server: string(c.server), Requests: &bspb.Fingerprints{}}
			byServer[c.server] = message
			report.Crashes = append(report.Crashes, message)
		}
		addFingerprint(message.Requests, c.request)
		message.Callers = append(message.Callers, uint64(c.caller))
		r.crashes[c] = crashState{notedAt: state.notedAt, isSent: true}
		if now.Sub(state.notedAt) >= crashResendTime {
			delete(r.crashes, c)
		}
	}
	if len(r.answered) > 0 {
		report.Answered = &bspb.Fingerprints{}
	}
	for request := range r.answered {
		addFingerprint(report.Answered, request)
	}
	clear(r.answered)
}

// EachCrash calls a function for each crash of the report.
func (r Report) EachCrash(note func(site.ServerID, quarantine.Fingerprint, quarantine.Caller)) {
	for _, message := range r.Crashes {
		for i, request := range fingerprintsOf(message.Requests) {
			if i < len(message.Callers) {
				note(site.ServerID(message.Server), request, quarantine.Caller(message.Callers[i]))
			}
		}
	}
}

// EachAnswered calls a function for each answered request of the report.
func (r Report) EachAnswered(note func(quarantine.Fingerprint)) {
	for _, request := range fingerprintsOf(r.Answered) {
		note(request)
	}
}

func addFingerprint(message *bspb.Fingerprints, f quarantine.Fingerprint) {
	message.High = append(message.High, f.High)
	message.Low = append(message.Low, f.Low)
}

func fingerprintsOf(message *bspb.Fingerprints) []quarantine.Fingerprint {
	low := message.GetLow()
	var list []quarantine.Fingerprint
	for i, high := range message.GetHigh() {
		if i < len(low) {
			list = append(list, quarantine.Fingerprint{High: high, Low: low[i]})
		}
	}
	return list
}

// quarantineOffset returns the offset of the list of a view, or -1 if there is none.
func quarantineOffset(v *view.View) int64 {
	if v.Quarantine.List == nil {
		return -1
	}
	return int64(v.Quarantine.Offset)
}

// newerQuarantine reports whether the calling node lacks the list of a view. Nodes of versions
// without quarantines state offset 0, which no list has, and never receive one: a call that
// waits for a change would return at once for ever.
func newerQuarantine(v *view.View, msg *bspb.FollowRequest) bool {
	return msg.QuarantineOffset != 0 && quarantineOffset(v) > msg.QuarantineOffset
}

// mergeQuarantineReply applies the list of a reply.
func mergeQuarantineReply(state *view.State, logger hclog.Logger, reply *bspb.FollowReply, from string) error {
	next := view.Quarantine{Offset: store.Offset(reply.QuarantineOffset)}
	if err := json.Unmarshal(reply.Quarantine, &next.List); err != nil {
		return err
	}
	mergeQuarantine(state, logger, next, from)
	return nil
}

// mergeQuarantine applies a list of quarantined requests if it is newer.
func mergeQuarantine(state *view.State, logger hclog.Logger, next view.Quarantine, from string) {
	if state.MergeQuarantine(next) {
		eventQuarantine.Log(logger, "offset", next.Offset, "quarantined", next.List.Quarantined(), "suspected", len(next.List)-next.List.Quarantined(), "from", from)
	}
}
