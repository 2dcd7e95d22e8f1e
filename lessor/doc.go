// Package lessor decides, for one group of backend servers, which node renews
// their leases and which shards each lease covers. It is pure: it has no I/O,
// clock or goroutine. Module modules/lessor drives it.
//
// A Member is this node's part in one group. Inputs are methods that take the
// time of the input on this process's monotonic clock (`now`, measured from an
// arbitrary fixed moment). Plan returns the actions that are due, without
// changing anything; each Begin method starts one action, checks again that it
// is allowed at that moment, and returns the message to send.
//
// # Rules
//
// A record in the log (ClaimTerm) names a lessor together with a standby
// lessor. The lessor may renew leases while it has the right to (type right):
// in connected mode while its contact with the log, or the standby's promise
// not to take over, is newer than one TTL; in disconnected mode only while the
// promise is. The mode changes only by a numbered handshake with the standby.
//
// A node that takes over waits until the previous right has expired, and then
// until the last lease renewed under it has expired (type takeover). It need
// not wait if servers acknowledge the new term and so reject the old one
// (settle.go), or if the previous lessor and its standby lessor report that
// they have seen the new term.
//
// Shards change owner only by a record in the log, written by the group's
// lessor, after the owner's lease has expired or the owner has released the
// shard (submit.go). The one exception is the standby server named in the
// assignment, which a disconnected lessor may activate (activate.go).
package lessor
