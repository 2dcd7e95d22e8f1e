package follow

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	storeCounts = metrics.New("gateway_store")
	storeCalls  = storeCounts.Map("calls")
	// eraChanges counts how often the store has come back from a copy.
	eraChanges = storeCounts.Counter("era_changes")
)

// CountingStore is a store that counts its calls by kind and result.
type CountingStore struct{ Store store.Store }

// Newest implements store.Store.
func (c CountingStore) Newest(ctx context.Context, topic store.Topic) (store.Batch, error) {
	batch, err := c.Store.Newest(ctx, topic)
	countCall("newest", topic, err)
	return batch, err
}

// Read implements store.Store.
func (c CountingStore) Read(ctx context.Context, topic store.Topic, from store.Offset, wait time.Duration) (store.Batch, error) {
	batch, err := c.Store.Read(ctx, topic, from, wait)
	countCall("read", topic, err)
	return batch, err
}

// AppendAt implements store.Store.
func (c CountingStore) AppendAt(ctx context.Context, topic store.Topic, at store.Offset, record store.Record) error {
	err := c.Store.AppendAt(ctx, topic, at, record)
	countCall("append", topic, err)
	return err
}

func countCall(kind string, topic store.Topic, err error) {
	var conflict *store.ConflictError
	var trimmed *store.TrimmedError
	var ended *store.EraError
	result := "ok"
	switch {
	case errors.As(err, &conflict):
		result = "conflict"
	case errors.As(err, &trimmed):
		result = "trimmed"
	case errors.As(err, &ended):
		result = "era ended"
	case err != nil:
		result = "failed"
	}
	storeCalls.Add(kind+" "+string(topic)+" "+result, 1)
}

// Counters of registry entries.
var (
	registryCounts = metrics.New("gateway_register")
	// invalidEntries counts the changes of entries from which no server can be read.
	invalidEntries = registryCounts.Counter("broken_entries")
	// skippedEntries counts entries of incarnations before the known one.
	skippedEntries = registryCounts.Counter("entries_of_earlier_runs")
	// serversRestarted counts the restarts of servers.
	serversRestarted = registryCounts.Counter("runs_replaced")
)
