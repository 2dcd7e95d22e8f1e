package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target is a backend server of a service.
type target struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	keyed             bool
	isFaulty          bool // one of those that garble answers
	address           string
	site              *drillSite
	stop              chan struct{}
	listener          net.Listener

	mu       sync.Mutex
	running  int
	waiting  int
	draining bool
	gone     bool
	seq      int
	free     chan struct{}
	holds    []hold
	keys     map[int]int // running requests by key
}

// hold is a grant or a release that the target has carried out.
type hold struct {
	from, to int
	fence    int64
	until    time.Time // zero: released
}

// addTarget starts a target and registers it.
func (s *drillSite) addTarget(service, zone string, slots, queue int, work time.Duration, keyed bool) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	t := &target{id: fmt.Sprintf("i-%s-%d", service, len(s.targets)), service: service, zone: zone, slots: slots, queue: queue, work: work, keyed: keyed, address: listener.Addr().String(), site: s, stop: make(chan struct{}), listener: listener, free: make(chan struct{}, slots), keys: map[int]int{}}
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	t.beat()
	go t.beats()
	go t.accept(listener)
	return t, nil
}

func (t *target) beats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.beat()
		case <-t.stop:
			return
		}
	}
}

// beat writes the target's entry.
func (t *target) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gone {
		return
	}
	state := "ready"
	if t.draining {
		state = "draining"
	}
	t.seq++
	text, _ := json.Marshal(map[string]any{ // cannot fail for maps of strings and numbers
		"address": t.address,
		"info":    map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status":  map[string]any{"state": state, "seq": t.seq, "warmup-left-s": 0},
	})
	t.site.store.Put(serversTopic, t.id, text)
}

func (t *target) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

// serve answers the requests of a connection one by one. A faulty target may send an extra response at the point where
// the next response is expected.
func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		length, err := io.Copy(&keptBody{&body}, request.Body)
		if err != nil {
			return
		}
		if len(extra) > 0 {
			t.site.record.add(t.id, "sends an extra response before that to %s %s", request.Method, request.URL.Path)
			if _, err := conn.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := t.answer(request, body.Bytes(), length)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if t.sendsExtra() {
			extra = answer
		}
	}
}

// sendsExtra decides whether a response is followed by a second one.
func (t *target) sendsExtra() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFaulty && time.Now().Before(t.site.faultyUntil()) && rand.Float64() < extraShare
}

// extraShare is the share of the answers of a faulty target that it garbles.
const extraShare = 0.03

// keptBody keeps the beginning of a body, which is all of a control call.
type keptBody struct{ buffer *bytes.Buffer }

// keptBytes bounds what is kept of a body.
const keptBytes = 4096

// Write implements io.Writer.
func (k *keptBody) Write(p []byte) (int, error) {
	room := max(keptBytes-k.buffer.Len(), 0)
	k.buffer.Write(p[:min(room, len(p))])
	return len(p), nil
}

// response returns the bytes of a response.
func response(request *http.Request, status int, header map[string]string, body string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := request.Header.Get("Attempt-Id"); id != "" {
		fmt.Fprintf(&text, "Attempt-Id: %s\r\n", id)
	}
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(text.String())
}

func (t *target) answer(request *http.Request, body []byte, length int64) []byte {
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != t.id {
		return response(request, http.StatusMisdirectedRequest, map[string]string{"Instance-Id": t.id}, "")
	}
	switch request.Method + " " + request.URL.Path {
	case "GET /healthz":
		return response(request, http.StatusOK, map[string]string{"Instance-Id": t.id, "Server-Load": t.load()}, "")
	case "POST /-/grant":
		return t.grant(request, body)
	case "POST /-/release":
		return t.release(request, body)
	}
	return t.run(request, length)
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.slots)
}

// run runs a request in a slot, or rejects it.
func (t *target) run(request *http.Request, length int64) []byte {
	id := request.Header.Get("Attempt-Id")
	key, _ := strconv.Atoi(request.Header.Get("Shard-Key"))
	t.site.record.arrived(id, t.id)
	reject := map[string]string{"Not-Executed": "1"}
	t.mu.Lock()
	if t.waiting >= t.queue && t.running >= t.slots {
		t.mu.Unlock()
		return response(request, http.StatusServiceUnavailable, reject, "")
	}
	t.waiting++
	t.mu.Unlock()
	t.free <- struct{}{}
	defer func() { <-t.free }()
	t.mu.Lock()
	t.waiting--
	if t.keyed && !t.holdsKey(key, time.Now()) {
		t.mu.Unlock()
		return response(request, http.StatusMisdirectedRequest, reject, "")
	}
	t.running++
	t.keys[key]++
	t.mu.Unlock()
	t.site.record.ran(id, t.id)
	time.Sleep(t.work)
	t.mu.Lock()
	t.running--
	t.keys[key]--
	t.mu.Unlock()
	header := map[string]string{"Server-Signature": t.id + "." + id, "Server-Load": t.load()}
	return response(request, http.StatusOK, header, fmt.Sprintf("%s %s %d", t.id, request.RequestURI, length))
}

// grantBody is the body of a grant or a release.
type grantBody struct {
	From  int     `json:"start-rev"`
	To    int     `json:"to"`
	Fence int64   `json:"fence"`
	Hold  float64 `json:"hold-s"`
}

// holdsKey reports whether the target holds a key. t.mu must be held.
func (t *target) holdsKey(key int, now time.Time) bool {
	highest, isHeld := int64(-1), false
	for _, h := range t.holds {
		if h.from <= key && key <= h.to && h.fence >= highest {
			highest, isHeld = h.fence, now.Before(h.until)
		}
	}
	return isHeld
}

func (t *target) grant(request *http.Request, body []byte) []byte {
	now := time.Now()
	var g grantBody
	if json.Unmarshal(body, &g) != nil || g.From > g.To {
		return response(request, http.StatusBadRequest, nil, "")
	}
	if !t.recordGrant(g, now) {
		return response(request, http.StatusConflict, nil, "")
	}
	for _, other := range t.site.otherTargets(t) {
		if key, left := other.stillWorks(g.From, g.To, now); left > 0 {
			t.site.noteBroken("OWNER: %s is given keys %d to %d under the fencing token %d, and %s is still at work on key %d, %d ms before its hold runs out", t.id, g.From, g.To, g.Fence, other.id, key, left.Milliseconds())
		}
	}
	return response(request, http.StatusOK, nil, "")
}

// recordGrant reports false if the target has seen a higher fencing token on one of the keys.
func (t *target) recordGrant(g grantBody, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make([]hold, 0, len(t.holds)+1)
	for _, h := range t.holds {
		if h.from <= g.To && g.From <= h.to && h.fence > g.Fence {
			return false
		}
		if h.from != g.From || h.to != g.To || h.fence != g.Fence {
			kept = append(kept, h)
		}
	}
	t.holds = append(kept, hold{g.From, g.To, g.Fence, now.Add(time.Duration(g.Hold * float64(time.Second)))})
	return true
}

// stillWorks returns a key of a span on which the target is at work, and for how long its hold would last if it had not
// been released.
func (t *target) stillWorks(from, to int, now time.Time) (key int, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, running := range t.keys {
		if t.gone || running == 0 || key < from || key > to {
			continue
		}
		for _, h := range t.holds {
			if h.from <= key && key <= h.to && h.until.Sub(now) > 0 {
				return key, h.until.Sub(now)
			}
		}
	}
	return 0, 0
}

// release stops new work on keys at once, and answers when the work on them has ended.
func (t *target) release(request *http.Request, body []byte) []byte {
	var g grantBody
	if json.Unmarshal(body, &g) != nil {
		return response(request, http.StatusBadRequest, nil, "")
	}
	t.site.record.add(t.id, "release of keys %d to %d under the fencing token %d, work: %v", g.From, g.To, g.Fence, t.works(g.From, g.To))
	t.mu.Lock()
	t.holds = append(t.holds, hold{from: g.From, to: g.To, fence: g.Fence})
	t.mu.Unlock()
	for t.works(g.From, g.To) {
		time.Sleep(5 * time.Millisecond)
	}
	return response(request, http.StatusOK, map[string]string{"Handover": fmt.Sprintf("%s-%d", t.id, g.Fence)}, "")
}

// works reports whether a request for one of the keys runs.
func (t *target) works(from, to int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, running := range t.keys {
		if running > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// leave makes the target leave as planned: it reports that it drains, serves on, and ends.
func (t *target) leave(serves time.Duration) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.beat()
	time.Sleep(serves)
	t.mu.Lock()
	t.gone = true
	t.mu.Unlock()
	close(t.stop)
	t.site.store.Put(serversTopic, t.id, nil)
	_ = t.listener.Close()
}
