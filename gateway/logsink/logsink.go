// Package logsink writes log lines without blocking the caller: lines wait in a bounded
// queue, and lines that do not fit are dropped and counted.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the queue: one second of the highest log rate of a node, about
	// 100 KB.
	maxQueuedLines = 512
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
	// closeTimeout bounds how long the process waits for its output when it exits.
	closeTimeout = 200 * time.Millisecond
)

// Sink is an io.Writer for log lines. Each call writes one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	onDrop  atomic.Pointer[func(lines int64)]
	done    chan struct{}
	closed  chan struct{} // closed by Close
	closing sync.Once
}

// New returns a sink that writes to out from its own goroutine.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// OnDrop sets a function that is called with the number of lines dropped since its last
// call, at most once a second, before further lines are written.
func (s *Sink) OnDrop(report func(lines int64)) { s.onDrop.Store(&report) }

// Dropped returns the number of dropped lines that have not been reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Write queues a line or drops it. It never blocks or fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine, unless the output does not accept
// them within closeTimeout. Lines written after Close are dropped.
func (s *Sink) Close() {
	s.closing.Do(func() { close(s.closed) })
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
			s.writeLine(line)
		case <-s.closed:
			s.flush()
			return
		}
		if time.Since(reported) < reportInterval || s.dropped.Load() == 0 {
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
			s.writeLine(line)
		default:
			return
		}
	}
}

func (s *Sink) writeLine(line []byte) {
	_, _ = s.out.Write(line) // a logging failure cannot be reported anywhere
}
