// Package sitefake is a site's state in memory for tests of the duties that
// read and write it: records are applied by the code that runs in production,
// at once and in one order, unless the log is planted to be down or a node to
// be stale.
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

// Site is the log and the state that all nodes share. Its methods may be called
// concurrently.
type Site struct {
	mu        sync.Mutex
	state     *state.State
	changed   chan struct{}
	up        chan struct{} // closed while the log is up
	sequences map[string]uint64
	records   []Applied
}

// Applied is one record in the log with what it did.
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

// SetDown plants an outage of the log, or ends it.
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

// Apply adds a record at once, whether or not the log is down.
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

// Node is one node's contact with the site: it implements state.Source and
// follower.Appender.
type Node struct {
	*Site
	writer string

	mu     sync.Mutex
	frozen *state.View   // nil while the node is up to date
	thawed chan struct{} // closed while the node is up to date
}

// Node returns the contact of one run of a node.
func (s *Site) Node(id, boot string) *Node {
	n := &Node{Site: s, writer: id + "@" + boot, thawed: make(chan struct{})}
	close(n.thawed)
	return n
}

// Freeze leaves the node with the view that it has now, as if it could append
// to the log but read it no longer: what it submits takes effect, and it does
// not learn so until Thaw.
func (n *Node) Freeze() {
	view := n.Site.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.thawed = make(chan struct{})
	}
	n.frozen = view
}

// Thaw brings a frozen node up to date.
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

// Submit implements follower.Appender. While the log is down it waits.
func (n *Node) Submit(ctx context.Context, record *bspb.Record) (follower.Fate, error) {
	n.Site.mu.Lock()
	up := n.up
	n.Site.mu.Unlock()
	if err := await(ctx, up); err != nil {
		return follower.Fate{}, err
	}
	result := n.Apply(n.writer, record)
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	if err := await(ctx, thawed); err != nil {
		return follower.Fate{}, err
	}
	fate := follower.Fate{Offset: result.Offset, Accepted: result.Accepted, RejectedShards: result.RejectedIndexes()}
	if result.Conflict != nil {
		fate.Conflict = result.Conflict.Error()
	}
	return fate, nil
}

func await(ctx context.Context, event <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return &follower.UnknownFateError{Cause: ctx.Err()}
	case <-event:
		return nil
	}
}
