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
	"strings"
	"sync"
	"time"
)

// Slots of a target, and how many requests it queues beside them.
const (
	targetSlots = 4
	targetQueue = 16
)

// healthPath is the health path of all services.
const healthPath = "/healthz"

// target is a backend server of a service.
type target struct {
	id, service, zone string
	work              time.Duration
	isFaulty          bool // one of those that garble answers
	address           string
	site              *drillSite

	mu      sync.Mutex
	running int
	waiting int
	seq     int
	free    chan struct{}
}

// addTarget starts a target and registers it.
func (s *drillSite) addTarget(service, zone string, work time.Duration, isFaulty bool) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	t := &target{id: fmt.Sprintf("i-%s-%d", service, len(s.targets)), service: service, zone: zone, work: work, isFaulty: isFaulty, address: listener.Addr().String(), site: s, free: make(chan struct{}, targetSlots)}
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	t.beat()
	go t.beats()
	go t.accept(listener)
	return nil
}

func (t *target) beats() {
	for range time.Tick(heartbeat) {
		t.beat()
	}
}

// beat writes the target's entry.
func (t *target) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	text, _ := json.Marshal(map[string]any{ // cannot fail for maps of strings and numbers
		"address": t.address,
		"info":    map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": targetSlots},
		"status":  map[string]any{"state": "ready", "seq": t.seq, "warmup-left-s": 0},
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

// serve answers the requests of a connection one by one.
func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		length, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		if _, err := conn.Write(t.answer(request, length)); err != nil {
			return
		}
	}
}

// signatureHeader is the name of the header that shows that an answer is a target's.
const signatureHeader = "Server-Signature"

// spoil overwrites one byte of an answer: the last letter of the name of its signature.
func spoil(answer []byte) {
	if at := bytes.Index(answer, []byte(signatureHeader)); at >= 0 {
		answer[at+len(signatureHeader)-1] = 'X'
	}
}

// spoils decides whether the target spoils the answer to a request that it has run.
func (t *target) spoils() bool {
	return t.isFaulty && time.Now().Before(t.site.faultyUntil()) && rand.Float64() < spoiledShare
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

func (t *target) answer(request *http.Request, length int64) []byte {
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != t.id {
		return response(request, http.StatusMisdirectedRequest, map[string]string{"Instance-Id": t.id}, "")
	}
	if request.URL.Path == healthPath {
		return response(request, http.StatusOK, map[string]string{"Instance-Id": t.id, "Server-Load": t.load()}, "")
	}
	return t.run(request, length)
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", t.running, t.waiting, targetSlots)
}

// run runs a request in a slot, or rejects it.
func (t *target) run(request *http.Request, length int64) []byte {
	id := request.Header.Get("Attempt-Id")
	t.site.record.arrived(id, t.id)
	reject := map[string]string{"Not-Executed": "1"}
	t.mu.Lock()
	if t.waiting >= targetQueue && t.running >= targetSlots {
		t.mu.Unlock()
		return response(request, http.StatusServiceUnavailable, reject, "")
	}
	t.waiting++
	t.mu.Unlock()
	t.free <- struct{}{}
	defer func() { <-t.free }()
	t.mu.Lock()
	t.waiting--
	t.running++
	t.mu.Unlock()
	t.site.record.ran(id, t.id)
	time.Sleep(t.work)
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	header := map[string]string{signatureHeader: t.id + "." + id, "Server-Load": t.load()}
	answer := response(request, http.StatusOK, header, fmt.Sprintf("%s %s %d", t.id, request.RequestURI, length))
	if t.spoils() {
		spoil(answer)
		t.site.record.add(t.id, "spoils its answer to %s", id)
	}
	return answer
}
