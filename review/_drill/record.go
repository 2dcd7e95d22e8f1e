package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	start    time.Time
	attempts map[string]*attempt
}

// attempt is one request of a client.
type attempt struct {
	id, node, what string
	unsafe, signed bool // signed: the answer has a signature
	sentAt, endAt  time.Time
	arrivals       []string // targets at which it arrived
	runs           []string // targets that ran it
	status         int      // 0: none
	failure        string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now(), attempts: map[string]*attempt{}}, nil
}

// add writes a line.
func (r *record) add(who, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(who, format, values...)
}

// line writes a line. r.mu must be held.
func (r *record) line(who, format string, values ...any) {
	fmt.Fprintf(r.out, "%8.3f %s: %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, values...))
}

func (r *record) sent(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.sentAt = time.Now()
	r.attempts[a.id] = a
}

func (r *record) arrived(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[id]; a != nil {
		a.arrivals = append(a.arrivals, target)
	}
}

func (r *record) ran(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[id]; a != nil {
		a.runs = append(a.runs, target)
	}
}

func (r *record) answered(a *attempt, status int, failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.endAt, a.status, a.failure = time.Now(), status, failure
	r.line("client", "%s %s at %s after %d ms: status %d %s, signed %v, ran at %v", a.what, a.id, a.node, a.endAt.Sub(a.sentAt).Milliseconds(), status, failure, a.signed, a.runs)
}

// all returns the attempts.
func (r *record) all() []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*attempt, 0, len(r.attempts))
	for _, a := range r.attempts {
		list = append(list, a)
	}
	return list
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
