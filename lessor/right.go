package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// right is a lessor's right to renew.
//
// The mode changes by a handshake. A lessor stops relying on log contact before
// it asks for disconnected mode, and relies on it again only after the
// standby's reply to a later round. So whenever the standby may take over
// without the log, the lessor's right depends on the promise alone.
type right struct {
	promise moment // send time of the latest heartbeat that was answered with a promise
	mode    Mode   // ModeConnected: log contact gives the right
	asked   Mode   // mode requested by heartbeats
	round   uint64 // of the requested mode
	acked   bool   // the standby acknowledged that round
}

// byLog reports whether the latest log contact gives the right.
func (r right) byLog(now time.Duration, contact moment, ttl time.Duration, off rules) bool {
	if r.mode != ModeConnected && !off.noModes {
		return false
	}
	return contact.fresher(now, ttl)
}

// covers reports whether leases for a service with a limit on the disconnected
// time may currently be renewed.
func (r right) covers(now time.Duration, contact moment, limit, ttl time.Duration, off rules) bool {
	if r.byLog(now, contact, ttl, off) {
		return true
	}
	if !r.promise.fresher(now, ttl) {
		return false
	}
	return limit == siteconfig.Forever || contact.fresher(now, limit)
}

// ask begins a new round that requests a mode.
func (r *right) ask(mode Mode) {
	if mode == ModeDisconnected {
		r.mode = ModeDisconnected
	}
	r.asked = mode
	r.round++
	r.acked = false
}

// answered processes the standby's reply to a heartbeat that was sent at sent.
func (r *right) answered(reply HeartbeatReply, sent time.Duration) {
	if !reply.Promised {
		return
	}
	r.promise = r.promise.later(momentAt(sent))
	if reply.ModeRound != r.round || reply.Mode != r.asked {
		return
	}
	r.acked = true
	r.mode = r.asked
}

// disconnected reports whether the standby has acknowledged disconnected mode
// and was not asked to leave it since.
func (r right) disconnected() bool {
	return r.mode == ModeDisconnected && r.asked == ModeDisconnected && r.acked
}
