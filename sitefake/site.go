// Package sitefake holds a site's state in memory, for tests of the duties that
// read and write it. The production code applies the records immediately and in
// one order, unless a test injects an outage of the log or a stale node.
package sitefake

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// recordFormat is the envelope's format version.
const recordFormat = 1

// Site is the log and the state that all nodes share. Its methods are safe for
// concurrent use.
type Site struct {
	mu        sync.Mutex
	state     *state.State
	changed   chan struct{}
	up        chan struct{} // closed while the log is up
	sequences map[string]uint64
	records   []Applied
}

// Applied is one record in the log with the result of applying it.
type Applied struct {
	At     time.Time
	Writer string
	Record *bspb.Record
	Result state.Result
}

// New returns an empty site.
func New() *Site {
	s := &Site{
		state:     state.New(),
		changed:   make(chan struct{}),
		up:        make(chan struct{}),
		sequences: map[string]uint64{},
	}
	close(s.up)
	return s
}

// SetDown starts or ends an injected outage of the log.
func (s *Site) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isDown := !closed(s.up)
	switch {
	case down && !isDown:
		s.up = make(chan struct{})
	case !down && isDown:
		close(s.up)
	}
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Apply appends and applies a record immediately, even while the log is down.
func (s *Site) Apply(writer string, record *bspb.Record) state.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	record = proto.CloneOf(record)
	s.sequences[writer]++
	record.Format, record.Writer, record.Sequence = recordFormat, writer, s.sequences[writer]
	result := s.state.Apply(s.state.Applied()+1, record)
	s.records = append(s.records, Applied{At: time.Now(), Writer: writer, Record: record, Result: result})
	close(s.changed)
	s.changed = make(chan struct{})
	return result
}

// Records returns every record so far.
func (s *Site) Records() []Applied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Applied(nil), s.records...)
}

// View implements state.Source.
func (s *Site) View() *state.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.View()
}

// Changed implements state.Source.
func (s *Site) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// WaitApplied implements state.Source.
func (s *Site) WaitApplied(ctx context.Context, offset topo.Offset) error {
	for {
		changed := s.Changed()
		if s.View().Applied() >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Node is one node's access to the site. It implements state.Source and
// follower.Appender.
type Node struct {
	*Site
	writer string

	mu     sync.Mutex
	frozen *state.View   // nil while the node is up to date
	thawed chan struct{} // closed while the node is up to date
}

// Node returns the access of one incarnation of a node.
func (s *Site) Node(id, boot string) *Node {
	n := &Node{Site: s, writer: id + "@" + boot, thawed: make(chan struct{})}
	close(n.thawed)
	return n
}

// Freeze keeps the node at the current view, as if it could append to the log but
// no longer read it: its submitted records take effect, but it does not receive
// their outcome until Thaw.
func (n *Node) Freeze() {
	view := n.Site.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.thawed = make(chan struct{})
	}
	n.frozen = view
}

// Thaw ends Freeze and brings the node up to date.
func (n *Node) Thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.thawed)
	}
	n.frozen = nil
}

// View implements state.Source.
func (n *Node) View() *state.View {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		return frozen
	}
	return n.Site.View()
}

// Submit implements follower.Appender. It waits while the log is down.
func (n *Node) Submit(ctx context.Context, record *bspb.Record) (follower.Outcome, error) {
	n.Site.mu.Lock()
	up := n.up
	n.Site.mu.Unlock()
	if err := waitClosed(ctx, up); err != nil {
		return follower.Outcome{}, err
	}
	result := n.Apply(n.writer, record)
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	if err := waitClosed(ctx, thawed); err != nil {
		return follower.Outcome{}, err
	}
	fate := follower.Outcome{Offset: result.Offset, Accepted: result.Accepted, RejectedShards: result.RejectedIndexes()}
	if result.Conflict != nil {
		fate.Conflict = result.Conflict.Error()
	}
	return fate, nil
}

func waitClosed(ctx context.Context, event <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return &follower.UnknownOutcomeError{Cause: ctx.Err()}
	case <-event:
		return nil
	}
}
