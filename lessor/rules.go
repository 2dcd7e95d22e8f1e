package lessor

// rules disables single safety rules, so that tests can show that the search
// finds the fault that each rule prevents. The zero value enables all of them.
type rules struct {
	noModes            bool // log contact gives the right in every mode; the standby takes over in any
	noBothServers      bool // a claimant settles by the owner's acknowledgement alone
	noLastLease        bool // a claimant does not wait for the last lease
	noDisconnectedWait bool // a claimant does not wait for a disconnected pair
	noReport           bool // acknowledgements do not report what the servers hold
	// noKnownBoot: a standby server is activated even if it restarted since the
	// latest log contact.
	noKnownBoot bool
	// noSeenTerm: a previous lessor's reply is accepted although it has not seen
	// the term.
	noSeenTerm bool
	// noSettledReply: a previous lessor's reply is accepted although it was not
	// settled.
	noSettledReply bool
	// noStandbyReply: a previous lessor's reply is accepted without its standby
	// lessor's.
	noStandbyReply bool
	// noComplete: previous lessors' replies are accepted although some previous
	// lessors are not known.
	noComplete bool
	// noSingleMissing: the replies of others bound the timeout of an incarnation although
	// another reply is missing too.
	noSingleMissing bool
	// noConnected: a standby lessor without a reply is treated as one that did not
	// take over, whatever mode its lessor had requested.
	noConnected bool
	// noLeaveAck: a standby lessor is treated as back in connected mode as soon as it is
	// asked to return to it.
	noLeaveAck bool
	// noPromise: a lessor without a reply is treated as ended once its standby
	// lessors have replied.
	noPromise bool
	// noSupersession: the wait for an unresponsive previous incarnation is
	// measured from when its term was first seen, not from when it was
	// superseded.
	noSupersession bool
	// noActivation: a standby server that reports that it was never activated
	// settles a shard as an activated one does.
	noActivation bool
	// noEarlierBoot: a standby server's report that it was never activated is accepted
	// for its earlier incarnations too.
	noEarlierBoot bool
	// eager is no safety rule: every server is treated as suspected at any
	// time, so that a search tries every suspicion.
	eager bool
}
