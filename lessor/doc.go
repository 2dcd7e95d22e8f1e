// Package lessor decides, for one group of backend servers, who renews their
// leases and which shards each lease covers. It is pure: it holds no I/O, clock
// or goroutine. Module modules/lessor drives it.
//
// A Member is this node's part in one group. Inputs are methods that take the
// time of the input on this process's monotonic clock (`now`, counted from any
// fixed moment). Plan lists what is due, without changing anything; each Begin
// method starts one of these things, checks again that it is allowed at that
// very moment, and returns the message to send.
//
// # Rules
//
// A lessor is named by a record in the log (ClaimTerm), together with a standby
// lessor. It may renew leases while it has the right to (type right): in
// connected mode that is while its contact with the log, or the standby's
// promise not to take over, is fresher than one TTL; in disconnected mode the
// promise alone counts. The mode changes only by a numbered handshake with the
// standby.
//
// Whoever takes over waits until the previous right has lapsed, and then for
// the last lease renewed under it (type takeover), unless servers acknowledge
// the new term and so refuse the old one (settle.go), or the former lessor and
// its standby lessor say that they have seen the new term.
//
// Shards change owner only by a record in the log, written by the group's
// lessor, after the owner's lease has lapsed or the owner has handed the shard
// back (submit.go). The one exception is the standby server named with the
// assignment, which a disconnected lessor may activate (activate.go).
package lessor
