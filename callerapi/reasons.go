package callerapi

import "github.com/burdockspindle/burdockspindle/serverapi"

// Reasons for refusing a request because of what the caller sent.
const (
	ReasonNoSuchPath       serverapi.Reason = "no-such-path"
	ReasonUnknownService   serverapi.Reason = "unknown-service"
	ReasonMissingKey       serverapi.Reason = "missing-key"
	ReasonUnexpectedKey    serverapi.Reason = "unexpected-key"
	ReasonBadKey           serverapi.Reason = "bad-key"
	ReasonBadPath          serverapi.Reason = "bad-path"
	ReasonBadDeadline      serverapi.Reason = "bad-deadline"
	ReasonBadHop           serverapi.Reason = "bad-hop"
	ReasonTooManyHops      serverapi.Reason = "too-many-hops"
	ReasonBadCaller        serverapi.Reason = "bad-caller"
	ReasonBadTicket                         = serverapi.ReasonBadTicket
	ReasonTicketRequired   serverapi.Reason = "ticket-required"
	ReasonBodyTooLarge     serverapi.Reason = "body-too-large"
	ReasonBodyUnreadable   serverapi.Reason = "body-unreadable"
	ReasonMethodNotAllowed serverapi.Reason = "method-not-allowed"
)

// Reasons that lie with the site.
const (
	// ReasonNoOwner: the key's shard has no owner that can be reached.
	ReasonNoOwner serverapi.Reason = "no-owner"
	// ReasonNoServer: no server of an unkeyed service can be reached.
	ReasonNoServer serverapi.Reason = "no-server"
	// ReasonQueueFull: too many requests wait for the server.
	ReasonQueueFull serverapi.Reason = "queue-full"
	// ReasonBufferFull: too many requests wait for the shard's next owner.
	ReasonBufferFull serverapi.Reason = "buffer-full"
	// ReasonTooLate: the request would not have been served by its deadline.
	ReasonTooLate serverapi.Reason = "too-late"
	// ReasonBusy: the entry node holds as many requests as it may.
	ReasonBusy serverapi.Reason = "busy"
	// ReasonDependency: a service that this one depends on is overloaded.
	ReasonDependency serverapi.Reason = "dependency-overloaded"
	// ReasonNotSent: the server could not be reached; nothing was sent.
	ReasonNotSent serverapi.Reason = "not-sent"
	// ReasonNoAnswer: the request was sent and no answer came.
	ReasonNoAnswer serverapi.Reason = "no-answer"
	// ReasonSilent: the connection made no progress for too long.
	ReasonSilent serverapi.Reason = "silent"
	// ReasonBrokenAnswer: the answer ended before it was whole.
	ReasonBrokenAnswer serverapi.Reason = "broken-answer"
	// ReasonForeignAnswer: the answer was not to this request.
	ReasonForeignAnswer serverapi.Reason = "foreign-answer"
	// ReasonNotLessor: the node asked is not the lessor of the server's group.
	ReasonNotLessor serverapi.Reason = "not-lessor"
	// ReasonLoop: the request had already been forwarded.
	ReasonLoop serverapi.Reason = "forwarding-loop"
	// ReasonNoLease: the lessor may not send to a server that does not check
	// fencing tokens, because its own right has lapsed.
	ReasonNoLease serverapi.Reason = "lessor-lapsed"
	// ReasonNoConnection: this node's share of the server's connections is in
	// use; nothing was sent.
	ReasonNoConnection serverapi.Reason = "no-connection"
	// ReasonCanceled: the caller went away.
	ReasonCanceled serverapi.Reason = "canceled"
)
