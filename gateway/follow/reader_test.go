package follow

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// growingStore holds an ownership topic of tables and returns a few of them per read, like
// a store that limits the size of a response.
type growingStore struct {
	tables   atomic.Int64
	pageSize int
}

func serialRecord(at int64) store.Record {
	text, _ := json.Marshal(&ranges.Table{Serial: uint64(at)}) // no field can fail
	return store.Record{Offset: store.Offset(at), Key: TableKey, Value: text}
}

// Newest implements store.Store.
func (s *growingStore) Newest(_ context.Context, topic store.Topic) (store.Batch, error) {
	if topic != store.Ownership {
		return store.Batch{}, nil
	}
	end := s.tables.Load()
	return store.Batch{Records: []store.Record{serialRecord(end - 1)}, Next: store.Offset(end), End: store.Offset(end)}, nil
}

// Read implements store.Store.
func (s *growingStore) Read(_ context.Context, topic store.Topic, from store.Offset, _ time.Duration) (store.Batch, error) {
	if topic != store.Ownership {
		return store.Batch{Next: from, End: from}, nil
	}
	end := s.tables.Load()
	batch := store.Batch{End: store.Offset(end)}
	next := int64(from)
	for ; next < end && len(batch.Records) < s.pageSize; next++ {
		batch.Records = append(batch.Records, serialRecord(next))
	}
	batch.Next = store.Offset(next)
	return batch, nil
}

// AppendAt implements store.Store.
func (s *growingStore) AppendAt(context.Context, store.Topic, store.Offset, store.Record) error {
	return nil
}

// A node that followed another one for a long time is many pages behind in the ownership
// topic. Reading one page in each readEvery took 9.1 s for 23 pages, in which no node of a
// site could claim a lease after a resignation, and all keys lost their owners.
func TestNodeFarBehindKnowsLeaseWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		growing := &growingStore{pageSize: 20}
		growing.tables.Store(1)
		reader := &Reader{Store: growing, State: view.NewState(), Contact: &Contact{}, Logger: hclog.NewNullLogger()}
		done := make(chan struct{})
		go func() {
			defer close(done)
			reader.RunServers(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done })
		await(t, reader, 1, time.Second)
		reader.Contact.NotePeerReport(clock.Now(), 0)
		time.Sleep(readEvery + minReadPause)
		growing.tables.Store(460)
		time.Sleep(firstReadAge - readEvery - minReadPause)
		await(t, reader, 460, time.Second)
	})
}

// await waits until a reader knows the ownership topic up to its end.
func await(t *testing.T, reader *Reader, end store.Offset, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		known := reader.Ownership()
		if known.Known && known.End == end {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %v: known %v, read up to the table at %d of %d", limit, known.Known, known.Table.Offset, end)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// The duty of a node that is not the lessor waits for a read of the ownership topic.
func TestReadOfOwnershipTopicIsSignaled(t *testing.T) {
	g := gomega.NewWithT(t)
	growing := &growingStore{pageSize: 20}
	growing.tables.Store(1)
	reader := &Reader{Store: growing, State: view.NewState(), Contact: &Contact{}, Logger: hclog.NewNullLogger()}
	read := reader.OwnershipRead()
	g.Expect(read).NotTo(gomega.BeClosed())
	_, err := reader.readOwnership(t.Context(), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.BeClosed())
	g.Expect(reader.OwnershipRead()).NotTo(gomega.BeClosed(), "until it is read again")
}
