package lessor

// rules switches off single safety rules, so that tests can show that the
// search finds what each prevents. The zero value keeps all of them.
type rules struct {
	noModes            bool // log contact counts in every mode; the standby goes on in any
	noBothServers      bool // a claimant settles by the owner's acknowledgement alone
	noLastLease        bool // a claimant does not wait for the last lease
	noDisconnectedWait bool // a claimant does not wait for a disconnected pair
	noReport           bool // acknowledgements do not tell what the servers hold
	// noKnownBoot: a standby server is activated also if it restarted since the
	// latest log contact.
	noKnownBoot bool
	// noSeenTerm: a former lessor's word counts although it has not seen the term.
	noSeenTerm bool
	// noSettledReply: a former lessor's word counts although it was not settled.
	noSettledReply bool
	// noStandbyReply: a former lessor's word counts without its standby lessor's.
	noStandbyReply bool
	// noComplete: former lessors' words count although some are not known.
	noComplete bool
	// noSingleMissing: the words of others bound a run's silence although another is silent
	// too.
	noSingleMissing bool
	// noConnected: a standby lessor without a word counts as one that did not go on,
	// whatever mode its lessor had asked for.
	noConnected bool
	// noLeaveAck: a standby lessor counts as back in connected mode as soon as it is asked.
	noLeaveAck bool
	// noPromise: a lessor without a word counts as ended once its standby lessors
	// have given theirs.
	noPromise bool
	// noSupersession: the wait for a silent former run is counted from when its
	// term was first seen, not from when it was superseded.
	noSupersession bool
	// noActivation: a standby server that says that it was never activated
	// settles a shard as one that was.
	noActivation bool
	// noEarlierBoot: a standby server's word that it was never activated counts for its
	// earlier runs too.
	noEarlierBoot bool
	// eager is no safety rule: every server counts as suspected at any time, so
	// that a search tries every suspicion.
	eager bool
}
