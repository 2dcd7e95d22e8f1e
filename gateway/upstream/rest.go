package upstream

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// restJitterShare and maxRestJitter bound the random time by which a rest is extended: nodes that were
	// turned away together would otherwise return together.
	restJitterShare = 0.1
	maxRestJitter   = 300 * time.Millisecond
	// maxRest bounds a rest. A server that wants none for longer ends.
	maxRest = 24 * time.Hour
	// restLineInterval is the least time between two lines about rests of a server.
	restLineInterval = time.Second
)

// RestingError reports a request that was not sent, because its server has asked this node for a rest.
type RestingError struct{ Until time.Time }

// Error implements error.
func (e *RestingError) Error() string {
	return "the server has asked for a rest of " + time.Until(e.Until).String() + " more"
}

// rests holds until when each server wants no requests of this node, in whichever incarnation. It is safe for
// concurrent use.
type rests struct {
	mu       sync.Mutex
	until    map[site.ServerName]time.Time
	loggedAt map[site.ServerName]time.Time
}

// extend sets the end of the rest of a server, unless it rests for longer. It reports whether that should be
// logged.
func (r *rests) extend(server site.ServerName, until, now time.Time) (mustLog bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until, r.loggedAt = map[site.ServerName]time.Time{}, map[site.ServerName]time.Time{}
	}
	if until.After(r.until[server]) {
		r.until[server] = until
	}
	mustLog = now.Sub(r.loggedAt[server]) >= restLineInterval
	if mustLog {
		r.loggedAt[server] = now
	}
	return mustLog
}

// check returns an *AttemptError if a server rests.
func (r *rests) check(server site.ServerID, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := r.until[server.Name()]; now.Before(until) {
		restedSendCount.Add(1)
		return &AttemptError{Server: server, Cause: &RestingError{Until: until}}
	}
	return nil
}

// prune drops the rests that have ended. Those of servers that are not registered stay: an entry that has expired
// while the store was away may be back with it.
func (r *rests) prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, until := range r.until {
		if !now.Before(until) {
			delete(r.until, server)
			delete(r.loggedAt, server)
		}
	}
}

// Rests returns how much longer each server that has asked this node for a rest wants no requests of it.
func (c *Client) Rests() map[site.ServerName]time.Duration {
	c.rests.mu.Lock()
	defer c.rests.mu.Unlock()
	left := map[site.ServerName]time.Duration{}
	for server, until := range c.rests.until {
		if rest := time.Until(until); rest > 0 {
			left[server] = rest
		}
	}
	return left
}

// noteRest records the rest that an answer asks for and returns it with its random extension; 0: none.
func (c *Client) noteRest(server site.ServerID, response *http.Response) time.Duration {
	texts := response.Header.Values(c.headers.Rest)
	if len(texts) == 0 || response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	asked, isValid := parseRest(texts, response.Header.Get("Date"))
	if !isValid {
		invalidRestCount.Add(1)
		c.invalidRests.note(eventInvalidRest, server, strings.Join(texts, ", "))
		return 0
	}
	if asked == 0 {
		return 0
	}
	now := time.Now()
	jitter := min(time.Duration(restJitterShare*float64(asked)), maxRestJitter)
	rest := asked + rand.N(jitter+1)
	restCount.Add(1)
	if c.rests.extend(server.Name(), now.Add(rest), now) {
		eventRest.Log(c.logger, "server", server, "status", response.StatusCode, "asked", asked, "rest", rest)
	}
	return rest
}

// parseRest parses the values of a rest header: one number of seconds, or a time of day in HTTP's form, which
// is counted from the server's own date.
func parseRest(texts []string, date string) (rest time.Duration, isValid bool) {
	if len(texts) != 1 {
		return 0, false
	}
	text := strings.TrimSpace(texts[0])
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		isValid = seconds >= 0 && !math.IsNaN(seconds) && !math.IsInf(seconds, 0)
		return secondsOf(seconds), isValid
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(date)
	if err != nil {
		return 0, false
	}
	return min(max(until.Sub(now), 0), maxRest), true
}

// secondsOf returns a number of seconds as a duration, at most maxRest.
func secondsOf(seconds float64) time.Duration {
	if seconds >= maxRest.Seconds() {
		return maxRest
	}
	return time.Duration(seconds * float64(time.Second))
}
