package site

import (
	"strconv"
	"strings"
	"time"
)

// ServerName is the name under which a backend server registers. A server may keep
// its name when it restarts, but keeps no state.
type ServerName string

// ServerID identifies one incarnation of a backend server by its name and start time.
// What is observed of a server is keyed by its ID, so that nothing observed of a previous
// incarnation is applied to the current one. What a server asks of its callers is keyed by
// its name, because it outlives the incarnation.
type ServerID string

// incarnationSeparator separates the name and the start time in a ServerID, and startBase is
// the base of the start time. The high base keeps IDs short, because they are sent to every
// node with each change of the routes.
const (
	incarnationSeparator = "@"
	startBase            = 36
)

// IncarnationID returns the ID of an incarnation of a server. start is its start time by the
// server's own clock, in whole milliseconds, or the zero time if it is unknown.
func IncarnationID(name ServerName, start time.Time) ServerID {
	if start.IsZero() && !strings.Contains(string(name), incarnationSeparator) {
		return ServerID(name)
	}
	milliseconds := int64(0)
	if !start.IsZero() {
		milliseconds = start.UnixMilli()
	}
	return ServerID(string(name) + incarnationSeparator + strconv.FormatInt(milliseconds, startBase))
}

// Name returns the name under which the incarnation registered.
func (id ServerID) Name() ServerName {
	if at := strings.LastIndex(string(id), incarnationSeparator); at >= 0 {
		return ServerName(id[:at])
	}
	return ServerName(id)
}

// Start returns the start time of the incarnation by the server's own clock, or the zero
// time if it is unknown.
func (id ServerID) Start() time.Time {
	at := strings.LastIndex(string(id), incarnationSeparator)
	if at < 0 {
		return time.Time{}
	}
	milliseconds, err := strconv.ParseInt(string(id[at+1:]), startBase, 64)
	if err != nil || milliseconds == 0 {
		return time.Time{} // unknown
	}
	return time.UnixMilli(milliseconds)
}
