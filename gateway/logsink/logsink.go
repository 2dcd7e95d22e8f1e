// Package logsink writes log lines without ever blocking who logs: lines wait in
// a bounded queue, and those that do not fit are dropped and counted.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queued is how many lines wait at most: a second of the most that a node
	// writes, about 100 KB.
	queued = 512
	// reportEvery is the least time between two reports of dropped lines.
	reportEvery = time.Second
	// closeTimeout bounds how long the end of a process waits for its output.
	closeTimeout = 200 * time.Millisecond
)

// Sink is an io.Writer for log lines, one line a call.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	onDrop  atomic.Pointer[func(lines int64)]
	done    chan struct{}
	ended   chan struct{} // closed by Close
	closing sync.Once
}

// New returns a sink that writes to out from a goroutine of its own.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queued), ended: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// OnDrop has a function called with the number of lines dropped since its last
// call, at most once a second, before further lines are written.
func (s *Sink) OnDrop(report func(lines int64)) { s.onDrop.Store(&report) }

// Dropped returns the number of lines that were dropped and not reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Write queues a line or drops it. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine, unless the output does
// not take them in time. What is written afterwards is dropped.
func (s *Sink) Close() {
	s.closing.Do(func() { close(s.ended) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var reported time.Time
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-s.ended:
			s.flush()
			return
		}
		if time.Since(reported) < reportEvery || s.dropped.Load() == 0 {
			continue
		}
		reported = time.Now()
		if report := s.onDrop.Load(); report != nil {
			(*report)(s.dropped.Swap(0))
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

func (s *Sink) put(line []byte) {
	_, _ = s.out.Write(line) // there is nowhere to tell that logging fails
}
