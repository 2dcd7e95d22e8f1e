package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var eventEvicted = events.Define(2306, hclog.Warn, "callers' connections made room for new ones")

// callerGroup holds the metrics of callers' connections.
var (
	callerGroup = metrics.New("gateway_callers")
	// evictedConns counts connections that were ended to make room for new ones, refusedConns those that were closed at once.
	evictedConns = callerGroup.Counter("evicted_connections")
	refusedConns = callerGroup.Counter("refused_connections")
)

const (
	// evictedShare is the share of the limit that is evicted at once: each choice looks at all connections.
	evictedShare = 1.0 / 64
	// excessShare is the share of the limit by which connections that are being ended may exceed it.
	excessShare = 1.0 / 4
	// stallAge is the time without a byte after which a request that has not arrived whole is stalled.
	stallAge = time.Second
)

// callerLimits bound callers' connections.
type callerLimits struct {
	conns int   // open at once; 0: no bound
	heads int64 // bytes of heads beyond usualHead each; 0: no bound
}

// evictions counts connections that were ended for lack of room.
type evictions struct {
	Evicted int64 `json:"evicted"`
	Refused int64 `json:"refused"`
}

// callerState is the state of callers' connections, for the state dump.
type callerState struct {
	Open  int `json:"open"`
	Limit int `json:"limit"` // 0: none
	// HeadBytes is what heads of requests hold beyond usualHead each.
	HeadBytes int64 `json:"headBytes"`
	evictions
}

func (conns *callerConns) state() callerState {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	return callerState{Open: len(conns.open), Limit: conns.limits.conns, HeadBytes: conns.headBytes.Load(), evictions: conns.evictions}
}

// hasRoom reports whether one more connection may be opened. At the limit it ends those that are needed least.
func (conns *callerConns) hasRoom() bool {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	limit := conns.limits.conns
	most := limit + max(int(excessShare*float64(limit)), 1)
	isFull := len(conns.open)-int(conns.evicting.Load()) >= limit
	if limit == 0 || !isFull && len(conns.open) < most {
		return true
	}
	hasEvicted := isFull && conns.evictSome(time.Now())
	isRefused := isFull && !hasEvicted || len(conns.open) >= most
	if isRefused {
		conns.evictions.Refused++
		refusedConns.Add(1)
	}
	conns.onEvict(conns.evictions)
	return !isRefused
}

// evictSome ends connections and reports whether it has found any. conns.mu must be held.
func (conns *callerConns) evictSome(now time.Time) bool {
	candidates := conns.candidates(now)
	most := max(int(evictedShare*float64(conns.limits.conns)), 1)
	evicted := 0
	for _, candidate := range candidates[:min(most, len(candidates))] {
		if candidate.conn.evict() {
			evicted++
		}
	}
	conns.evictions.Evicted += int64(evicted)
	evictedConns.Add(int64(evicted))
	return evicted > 0
}

const (
	// usualHead is the length of a head, in bytes, up to which it is part of what a connection takes.
	usualHead = 4 << 10
	// freedHeadShare is the share of the bound on heads that is freed at once: each choice looks at all connections.
	freedHeadShare = 1.0 / 8
)

// addHead counts bytes of a head, and reports whether those beyond usualHead have become more. c.mu must be held.
func (c *callerConn) addHead(bytes int64) bool {
	if c.isEvicted {
		return false
	}
	before := c.longHead()
	c.head += bytes
	added := c.longHead() - before
	c.owner.headBytes.Add(added)
	return added > 0
}

// longHead returns the bytes of the head beyond usualHead. c.mu must be held.
func (c *callerConn) longHead() int64 { return max(c.head-usualHead, 0) }

// releaseHead gives back what the head holds. c.mu must be held.
func (c *callerConn) releaseHead() {
	c.owner.headBytes.Add(-c.longHead())
	c.head = 0
}

// boundHeads ends connections with long heads that have not arrived whole while all heads together exceed their bound.
func (conns *callerConns) boundHeads() {
	limit := conns.limits.heads
	if limit == 0 || conns.headBytes.Load() <= limit {
		return
	}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	before := conns.evictions.Evicted
	for _, candidate := range conns.candidates(time.Now()) {
		if conns.headBytes.Load() <= limit-int64(freedHeadShare*float64(limit)) {
			break
		}
		if candidate.conn.evictLongHead() {
			conns.evictions.Evicted++
			evictedConns.Add(1)
		}
	}
	if conns.evictions.Evicted > before {
		conns.onEvict(conns.evictions)
	}
}

// evictLongHead ends the connection if a part of a long head has arrived.
func (c *callerConn) evictLongHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != readingHead || c.longHead() == 0 {
		return false
	}
	c.expireAndCount()
	c.releaseHead() // the server's read fails at once
	return true
}

// need is how much a connection is needed: those with a lower value are evicted first.
type need int

const (
	stalledRequest need = iota // a part of a request has arrived, and no byte lately
	unused                     // no request has arrived
	idleConn                   // between two requests
	newRequest                 // opened, or a part of a request has arrived, a moment ago
	inUse                      // its request is being served: it is not evicted
)

// candidate is a connection that may be evicted.
type candidate struct {
	conn     *callerConn
	need     need
	lastRead time.Time
}

// candidates returns the connections that may be evicted, those to evict first in front. conns.mu must be held.
func (conns *callerConns) candidates(now time.Time) []candidate {
	list := make([]candidate, 0, len(conns.open))
	for c := range conns.open {
		if candidate := c.candidate(now); candidate.need != inUse {
			list = append(list, candidate)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.need, b.need), a.lastRead.Compare(b.lastRead))
	})
	return list
}

func (c *callerConn) candidate(now time.Time) candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return candidate{conn: c, need: c.need(now), lastRead: c.lastRead}
}

// need returns how much the connection is needed. c.mu must be held.
func (c *callerConn) need(now time.Time) need {
	isPartial := c.phase == readingHead || c.phase == serving && c.readsBody
	isNew := now.Sub(c.lastRead) < stallAge
	switch {
	case c.isEvicted, c.phase == serving && !c.readsBody:
		return inUse
	case (isPartial || c.awaitsFirst) && isNew:
		return newRequest
	case isPartial:
		return stalledRequest
	case c.awaitsFirst:
		return unused
	}
	return idleConn
}

// endEviction records that the connection has closed, or goes on because its request arrived in spite of its eviction. c.mu
// must be held.
func (c *callerConn) endEviction() {
	if c.isEvicted {
		c.isEvicted = false
		c.owner.evicting.Add(-1)
	}
}

// evict makes the server's read fail, unless a request has arrived since the connection was chosen.
func (c *callerConn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isServing := c.phase == serving && !c.readsBody
	if isServing || c.phase == awaitingRequest && socket.Peek(c.Conn) == socket.Readable {
		return false
	}
	c.expireAndCount()
	return true
}

// expireAndCount ends the connection to make room. c.mu must be held.
func (c *callerConn) expireAndCount() {
	c.isEvicted = true
	c.owner.evicting.Add(1)
	c.expireRead()
	if c.phase != serving {
		phaseStart := c.phaseStart
		if c.timer != nil {
			c.timer.Stop()
		}
		c.timer = time.AfterFunc(drainPollInterval, func() { c.timeOut(phaseStart) })
	}
}

// evictionLogInterval is the least interval between two log lines of evictions.
const evictionLogInterval = time.Second

// logEvictions returns a function that logs evictions, at most once in evictionLogInterval.
func (f *Front) logEvictions() func(evictions) {
	var mu sync.Mutex
	var loggedAt time.Time
	return func(total evictions) {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(loggedAt) < evictionLogInterval {
			return
		}
		loggedAt = time.Now()
		eventEvicted.Log(f.logger, "evicted", total.Evicted, "refused", total.Refused, "limit", f.callers.limits.conns)
	}
}

// connMemory returns about what callers' connections take, in bytes.
func (f *Front) connMemory() int64 {
	state := f.callers.state()
	return connBytes*int64(state.Open) + state.HeadBytes
}
