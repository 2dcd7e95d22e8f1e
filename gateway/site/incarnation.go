package site

import (
	"strconv"
	"strings"
	"time"
)

// ServerName is the name under which a backend server registers. A server that
// starts again may keep its name; it then knows nothing of before.
type ServerName string

// ServerID names one run of a backend server: its name and its start. What is
// known of a server is kept under it, so that nothing of an earlier run is taken for
// the present one.
type ServerID string

// incarnationSeparator stands between a run's name and its start, and startBase is the
// base of the start's number: IDs go to every node with each change of the routes.
const (
	incarnationSeparator = "@"
	startBase            = 36
)

// RunID returns the ID of a run of a server. start is the time of its start by
// the server's own clock, in whole milliseconds; the zero time if it is not known.
func RunID(name ServerName, start time.Time) ServerID {
	if start.IsZero() && !strings.Contains(string(name), incarnationSeparator) {
		return ServerID(name)
	}
	milliseconds := int64(0)
	if !start.IsZero() {
		milliseconds = start.UnixMilli()
	}
	return ServerID(string(name) + incarnationSeparator + strconv.FormatInt(milliseconds, startBase))
}

// Name returns the name under which the run registered.
func (id ServerID) Name() ServerName {
	if at := strings.LastIndex(string(id), incarnationSeparator); at >= 0 {
		return ServerName(id[:at])
	}
	return ServerName(id)
}

// Start returns the start of the run by the server's own clock; the zero time if
// it is not known.
func (id ServerID) Start() time.Time {
	at := strings.LastIndex(string(id), incarnationSeparator)
	if at < 0 {
		return time.Time{}
	}
	milliseconds, err := strconv.ParseInt(string(id[at+1:]), startBase, 64)
	if err != nil || milliseconds == 0 {
		return time.Time{} // not known
	}
	return time.UnixMilli(milliseconds)
}
