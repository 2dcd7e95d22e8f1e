package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which a target writes its entry.
const heartbeat = 870 * time.Millisecond

// hold is the latest grant or release of a span of keys.
type hold struct {
	from, to int
	fence    int64
	until    time.Time // zero: released
}

// run is a request that the target has begun to work on.
type run struct {
	id       string
	key      int // -1: of a service without keys
	unsafe   bool
	start    time.Time
	end      time.Time // zero while it runs
	instance string
}

// target is the stand-in of a server of the users. It serves one request at a time on a connection, as
// PROTOCOL.md says, and is sound unless one of the two faults below is switched on.
type target struct {
	record  *record
	id      string
	service string
	zone    string
	keyed   bool
	slots   int
	queue   int
	work    time.Duration // mean
	address string
	store   *platform
	born    int64

	// shedShare is the share of requests that are turned away as not run although there is room (srv_grey, shed).
	shedShare func() float64
	// copies decides whether the last answer on a connection is sent a second time, before the answer to the next
	// request on it (garble, extra late). At most maxCopies of the answers are. It is called with mu held; nil: none.
	copies func(last sent, next sent) bool

	mu       sync.Mutex
	holds    []hold
	runs     []*run
	running  int
	waiting  int
	freed    chan struct{}
	draining bool
	gone     bool
	seq      int
	answers  int
	extras   int
	grants   []grantEvent
}

// maxCopies is the largest share of answers that are sent a second time: garble has x = 0.03 at most.
const maxCopies = 0.03

// sent is what a copy is decided by: an answer, or the request that comes next.
type sent struct {
	method, path, id string
	status           int // of an answer
}

// grantEvent is a grant that the target has accepted.
type grantEvent struct {
	hold
	at       time.Time
	instance string
	isNew    bool // the target did not hold all the keys just before
}

func (t *target) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.address = listener.Addr().String()
	t.born = time.Now().UnixMilli()
	t.freed = make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	go func() {
		for t.beat() {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// beat writes the target's entry, and reports whether it is still registered.
func (t *target) beat() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gone {
		return false
	}
	state := "ready"
	if t.draining {
		state = "draining"
	}
	t.seq++
	entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"warmup-left-s":0}}`,
		t.address, t.born, t.service, t.zone, t.slots, state, t.seq)
	t.store.store.Put("keyed.servers", t.id, []byte(entry))
	return true
}

// drain reports that the target leaves.
func (t *target) drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.beat()
}

// answer is an answer of the target.
type answer struct {
	status int
	header [][2]string
	body   string
}

func (a *answer) encode(id string, load string) []byte {
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nKeep-Alive: timeout=10\r\n", a.status, http.StatusText(a.status))
	if id != "" {
		_, _ = fmt.Fprintf(&text, "Attempt-Id: %s\r\n", id)
	}
	_, _ = fmt.Fprintf(&text, "Server-Load: %s\r\n", load)
	for _, field := range a.header {
		_, _ = fmt.Fprintf(&text, "%s: %s\r\n", field[0], field[1])
	}
	_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return text.Bytes()
}

func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var last []byte // the last answer
	var answered sent
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		came := sent{method: request.Method, path: request.URL.Path, id: request.Header.Get("Attempt-Id")}
		if last != nil && t.mayCopy(answered, came) {
			t.record.add("target %s sends its answer %d to %s %s %s a second time, as %s %s %s comes on that connection", t.id, answered.status, answered.method, answered.path, answered.id, came.method, came.path, came.id)
			_, _ = conn.Write(last)
		}
		left := make(chan struct{}) // closed when the connection ends while the request is served
		next := make(chan error, 1)
		go func() {
			_, err := reader.Peek(1)
			if err != nil {
				close(left)
			}
			next <- err
		}()
		a := t.handle(request, body, left)
		if a == nil {
			return
		}
		last = a.encode(request.Header.Get("Attempt-Id"), t.load())
		if _, err := conn.Write(last); err != nil {
			return
		}
		answered = came
		answered.status = a.status
		t.mu.Lock()
		t.answers++
		t.mu.Unlock()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // the idle timeout
		if <-next != nil {
			return
		}
	}
}

// mayCopy reports whether the last answer is sent a second time now, and counts it.
func (t *target) mayCopy(last, next sent) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.copies == nil || float64(t.extras+1) > maxCopies*float64(t.answers) || !t.copies(last, next) {
		return false
	}
	t.extras++
	return true
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.slots)
}

var notRun = [2]string{"Not-Executed", "1"}

func (t *target) handle(r *http.Request, body []byte, left chan struct{}) *answer {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != t.id {
		return &answer{status: http.StatusMisdirectedRequest, header: [][2]string{{"Instance-Id", t.id}}}
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /-/grant":
		return t.grant(body)
	case "POST /-/release":
		return t.release(body, left)
	case "GET /healthz":
		time.Sleep(6 * time.Millisecond)
		return &answer{status: http.StatusOK, header: [][2]string{{"Instance-Id", t.id}}}
	}
	return t.request(r, left)
}

func (t *target) request(r *http.Request, left chan struct{}) *answer {
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		return &answer{status: http.StatusBadRequest, header: [][2]string{notRun}}
	}
	timeoutMs, err := strconv.Atoi(r.Header.Get("Timeout-Ms"))
	if err != nil {
		timeoutMs = 10000
	}
	deadline := time.NewTimer(time.Duration(timeoutMs) * time.Millisecond)
	defer deadline.Stop()
	key := -1
	if t.keyed {
		if key, err = strconv.Atoi(r.Header.Get("Shard-Key")); err != nil {
			key = -1
		}
	}
	if t.shedShare != nil && rand.Float64() < t.shedShare() {
		t.record.add("target %s answers %s with 503 Not-Executed (sheds)", t.id, id)
		return &answer{status: http.StatusServiceUnavailable, header: [][2]string{notRun}}
	}
	t.mu.Lock()
	if t.running >= t.slots && t.waiting >= t.queue {
		t.mu.Unlock()
		t.record.add("target %s answers %s with 503 Not-Executed (full)", t.id, id)
		return &answer{status: http.StatusServiceUnavailable, header: [][2]string{notRun}}
	}
	t.waiting++
	for t.running >= t.slots {
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-left:
			t.mu.Lock()
			t.waiting--
			t.mu.Unlock()
			return nil
		case <-deadline.C:
			t.mu.Lock()
			t.waiting--
			t.mu.Unlock()
			return &answer{status: http.StatusServiceUnavailable, header: [][2]string{notRun}}
		}
		t.mu.Lock()
	}
	t.waiting--
	if t.keyed && !t.holdsKey(key, time.Now()) {
		t.wake()
		t.mu.Unlock()
		t.record.add("target %s answers %s with 421 Not-Executed (does not hold key %d)", t.id, id, key)
		return &answer{status: http.StatusMisdirectedRequest, header: [][2]string{notRun, {"Instance-Id", t.id}}}
	}
	t.running++
	now := &run{id: id, key: key, unsafe: r.Method != http.MethodGet, start: time.Now(), instance: t.id}
	t.runs = append(t.runs, now)
	t.mu.Unlock()
	t.record.add("target %s runs %s key %d", t.id, id, key)
	work := time.NewTimer(t.workTime(now.unsafe))
	defer work.Stop()
	a := &answer{status: http.StatusOK, header: [][2]string{{"Server-Signature", "signed-" + t.id}}, body: t.id + " " + id}
	select {
	case <-work.C:
	case <-left:
		a = nil
	case <-deadline.C:
		a = &answer{status: http.StatusGatewayTimeout, header: [][2]string{{"Server-Signature", "signed-" + t.id}}}
	}
	t.mu.Lock()
	now.end = time.Now()
	t.running--
	t.wake()
	t.mu.Unlock()
	t.record.add("target %s ends the run of %s", t.id, id)
	return a
}

// Work times of Kartpara's sheet: a share of tailShare of the requests takes tailFactor times as long.
const (
	tailShare  = 0.03
	tailFactor = 7
	maxFactor  = 10.6 // of the mean
)

// workTime draws how long the work on a request takes.
func (t *target) workTime(isUnsafe bool) time.Duration {
	mean, spread := t.work, 0.3
	if isUnsafe && t.keyed {
		mean, spread = activateWork, 0.5
	}
	factor := math.Exp(spread*rand.NormFloat64() - spread*spread/2)
	if rand.Float64() < tailShare {
		factor *= tailFactor
	}
	return time.Duration(min(factor, maxFactor) * float64(mean))
}

// wake tells those that wait that something has ended. t.mu is held.
func (t *target) wake() {
	close(t.freed)
	t.freed = make(chan struct{})
}

// holdsKey reports whether the target holds a key. t.mu is held.
func (t *target) holdsKey(key int, now time.Time) bool {
	highest, holds := int64(-1), false
	for _, h := range t.holds {
		if h.from <= key && key <= h.to && h.fence >= highest {
			highest, holds = h.fence, now.Before(h.until)
		}
	}
	return holds
}

// heldUntil returns when the hold of a key ends; zero: it is not held. t.mu is held.
func (t *target) heldUntil(key int) time.Time {
	highest, until := int64(-1), time.Time{}
	for _, h := range t.holds {
		if h.from <= key && key <= h.to && h.fence >= highest {
			highest, until = h.fence, h.until
		}
	}
	return until
}

type grantBody struct {
	From     int     `json:"start-rev"`
	To       int     `json:"to"`
	Fence    int64   `json:"fence"`
	Hold     float64 `json:"hold-s"`
	Handover string  `json:"handover"`
}

func (t *target) grant(text []byte) *answer {
	now := time.Now()
	var g grantBody
	if json.Unmarshal(text, &g) != nil || g.From > g.To {
		return &answer{status: http.StatusBadRequest}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holds {
		if h.from <= g.To && g.From <= h.to && h.fence > g.Fence {
			return &answer{status: http.StatusConflict}
		}
	}
	h := hold{g.From, g.To, g.Fence, now.Add(time.Duration(g.Hold * float64(time.Second)))}
	isNew := !t.holdsKey(g.From, now) || !t.holdsKey(g.To, now)
	t.add(h)
	t.grants = append(t.grants, grantEvent{hold: h, at: now, instance: t.id, isNew: isNew})
	if isNew {
		t.record.add("target %s is granted keys %d to %d, fence %d, hold %.3f s", t.id, g.From, g.To, g.Fence, g.Hold)
	}
	return &answer{status: http.StatusOK}
}

// add records a hold in place of earlier ones of the same keys. t.mu is held.
func (t *target) add(added hold) {
	t.holds = slices.DeleteFunc(t.holds, func(h hold) bool {
		return added.from <= h.from && h.to <= added.to && h.fence <= added.fence
	})
	t.holds = append(t.holds, added)
}

func (t *target) release(text []byte, left chan struct{}) *answer {
	var g grantBody
	if json.Unmarshal(text, &g) != nil {
		return &answer{status: http.StatusBadRequest}
	}
	t.mu.Lock()
	busy := t.works(g.From, g.To)
	t.add(hold{from: g.From, to: g.To, fence: g.Fence})
	t.record.add("target %s gets the release of keys %d to %d, fence %d, with %d requests at work on them", t.id, g.From, g.To, g.Fence, busy)
	for t.works(g.From, g.To) > 0 {
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-left:
			return nil
		}
		t.mu.Lock()
	}
	t.mu.Unlock()
	t.record.add("target %s answers the release of keys %d to %d", t.id, g.From, g.To)
	return &answer{status: http.StatusOK, header: [][2]string{{"Handover", fmt.Sprintf("%s-%d-%d", t.id, g.From, g.Fence)}}}
}

// works counts the runs on keys. t.mu is held.
func (t *target) works(from, to int) int {
	count := 0
	for _, r := range t.runs {
		if r.end.IsZero() && from <= r.key && r.key <= to {
			count++
		}
	}
	return count
}
