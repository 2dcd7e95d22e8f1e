package follow

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// pagedStore holds records of servers and returns one of them per read.
type pagedStore struct {
	records int64
	reads   atomic.Int64
}

// Newest implements store.Store; the snapshot is older than all records.
func (s *pagedStore) Newest(_ context.Context, topic store.Topic) (store.Batch, error) {
	if topic != store.Servers {
		return store.Batch{}, nil
	}
	return store.Batch{Next: 0, End: store.Offset(s.records)}, nil
}

// Read implements store.Store.
func (s *pagedStore) Read(_ context.Context, topic store.Topic, from store.Offset, _ time.Duration) (store.Batch, error) {
	if topic != store.Servers || int64(from) >= s.records {
		return store.Batch{Next: from, End: from}, nil
	}
	s.reads.Add(1)
	record := store.Record{Offset: from, Key: fmt.Sprint("s", from), Value: []byte("sound")}
	return store.Batch{Records: []store.Record{record}, Next: from + 1, End: store.Offset(s.records)}, nil
}

// AppendAt implements store.Store.
func (*pagedStore) AppendAt(context.Context, store.Topic, store.Offset, store.Record) error {
	return nil
}

// namesOnly decodes entries that consist only of their key.
type namesOnly struct{ view.Codec }

func (namesOnly) Entry(key string, _ []byte) (site.RegistryEntry, error) {
	return site.RegistryEntry{Server: site.Server{ID: site.ServerID(key), Service: "s"}}, nil
}

// A node that is behind must not report to its followers that it knows the registry, and
// reads on without a pause until it does. Otherwise a draining server would receive
// requests in the meantime.
func TestNodeBehindReadsOnAndReportsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		paged := &pagedStore{records: 12}
		r := &Reader{Store: paged, Codec: namesOnly{}, State: view.NewState(), Contact: &Contact{}, Logger: hclog.NewNullLogger()}
		r.Contact.Note(store.Configurations, time.Now())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); r.RunServers(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		time.Sleep(readEvery - minReadPause)
		synctest.Wait()
		_, known := r.Contact.Age()
		g.Expect(known).To(gomega.Equal(paged.reads.Load() == 12), "%d of 12 pages are read", paged.reads.Load())
		time.Sleep(2 * readEvery)
		synctest.Wait()
		g.Expect(paged.reads.Load()).To(gomega.Equal(int64(12)), "within three intervals")
		g.Expect(r.State.Now().Servers.Servers).To(gomega.HaveLen(12))
	})
}
