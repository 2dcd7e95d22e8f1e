// Package memlog implements a log in memory, with retention by count and by age.
// The module log.memory and the stand-in log service use it.
package memlog

import (
	"context"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// DefaultMax is the maximum number of entries of a read that sets no maximum.
const DefaultMax = 512

// Retention limits the entries that are kept. Zero values keep everything.
type Retention struct {
	Records int           // maximum number of entries
	Age     time.Duration // maximum age of an entry
}

// Store is a log in memory. It implements platlog.Log; its only errors are
// *platlog.TruncatedError and the context's error.
type Store struct {
	mu        sync.Mutex
	retention Retention
	first     topo.Offset // offset of entries[0], or of the next append if empty
	entries   []entry
	grown     chan struct{} // closed by the next append
}

type entry struct {
	data []byte
	at   time.Time
}

var _ platlog.Log = (*Store)(nil)

// New returns an empty store.
func New(retention Retention) *Store {
	return &Store{retention: retention, first: 1, grown: make(chan struct{})}
}

// Append implements platlog.Log.
func (s *Store) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	if err := ctx.Err(); err != nil {
		return 0, &platlog.UnavailableError{Op: "append", Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, entry{data: append([]byte(nil), data...), at: time.Now()})
	close(s.grown)
	s.grown = make(chan struct{})
	s.enforce()
	return s.end() - 1, nil
}

// Read implements platlog.Log.
func (s *Store) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	for {
		batch, grown, err := s.readNow(req)
		if err != nil || len(batch.Entries) > 0 || req.Wait <= 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return platlog.Batch{}, ctx.Err()
		}
	}
}

// readNow returns the entries that exist, and a channel that the next append
// closes.
func (s *Store) readNow(req platlog.ReadRequest) (platlog.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enforce()
	from := max(req.From, 1)
	if from < s.first {
		return platlog.Batch{}, nil, &platlog.TruncatedError{From: from, First: s.first}
	}
	batch := platlog.Batch{First: s.first, End: s.end()}
	limit := req.Max
	if limit <= 0 {
		limit = DefaultMax
	}
	for offset := from; offset < batch.End && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, platlog.Entry{
			Offset: offset,
			Data:   s.entries[offset-s.first].data,
		})
	}
	return batch, s.grown, nil
}

// Truncate drops every entry below first, as the retention limit would.
func (s *Store) Truncate(first topo.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.first < first && len(s.entries) > 0 {
		s.dropOldest()
	}
}

// Bounds returns the lowest offset retained and the next offset.
func (s *Store) Bounds() (first, end topo.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enforce()
	return s.first, s.end()
}

func (s *Store) end() topo.Offset { return s.first + topo.Offset(len(s.entries)) }

// enforce drops the entries that exceed the retention limits.
func (s *Store) enforce() {
	for s.retention.Records > 0 && len(s.entries) > s.retention.Records {
		s.dropOldest()
	}
	if s.retention.Age <= 0 {
		return
	}
	oldest := time.Now().Add(-s.retention.Age)
	for len(s.entries) > 0 && s.entries[0].at.Before(oldest) {
		s.dropOldest()
	}
}

func (s *Store) dropOldest() {
	s.entries[0] = entry{}
	s.entries = s.entries[1:]
	s.first++
}
