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

// Reasons within the site.
const (
	// ReasonNoOwner: the key's shard has no reachable owner.
	ReasonNoOwner serverapi.Reason = "no-owner"
	// ReasonNoServer: no server of an unkeyed service is reachable.
	ReasonNoServer serverapi.Reason = "no-server"
	// ReasonQueueFull: too many requests wait for the server.
	ReasonQueueFull serverapi.Reason = "queue-full"
	// ReasonBufferFull: too many requests wait for the shard's next owner.
	ReasonBufferFull serverapi.Reason = "buffer-full"
	// ReasonTooLate: the request would not have been served before its deadline.
	ReasonTooLate serverapi.Reason = "too-late"
	// ReasonBusy: the entry node has reached its limit of concurrent requests.
	ReasonBusy serverapi.Reason = "busy"
	// ReasonDependency: a service that this one depends on is overloaded.
	ReasonDependency serverapi.Reason = "dependency-overloaded"
	// ReasonNotSent: the server was unreachable; nothing was sent.
	ReasonNotSent serverapi.Reason = "not-sent"
	// ReasonNoAnswer: the request was sent, but there was no response.
	ReasonNoAnswer serverapi.Reason = "no-answer"
	// ReasonUnresponsive: the connection made no progress for too long.
	ReasonUnresponsive serverapi.Reason = "silent"
	// ReasonBrokenAnswer: the response ended before it was complete.
	ReasonBrokenAnswer serverapi.Reason = "broken-answer"
	// ReasonForeignAnswer: the response belongs to another request.
	ReasonForeignAnswer serverapi.Reason = "foreign-answer"
	// ReasonNotLessor: the called node is not the lessor of the server's group.
	ReasonNotLessor serverapi.Reason = "not-lessor"
	// ReasonLoop: the request was already forwarded.
	ReasonLoop serverapi.Reason = "forwarding-loop"
	// ReasonNoLease: the lessor may not send to a server that does not check
	// fencing tokens, because its own right has expired.
	ReasonNoLease serverapi.Reason = "lessor-lapsed"
	// ReasonNoConnection: this node's quota of connections to the server is
	// exhausted; nothing was sent.
	ReasonNoConnection serverapi.Reason = "no-connection"
	// ReasonCanceled: the caller cancelled the request.
	ReasonCanceled serverapi.Reason = "canceled"
)
