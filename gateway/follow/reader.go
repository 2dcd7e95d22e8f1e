package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Intervals of reading the store.
const (
	// readEvery is the interval of reading servers and ownership: each heartbeat
	// of a server is a record, so waiting for the next one would be a call for
	// every record.
	readEvery = 400 * time.Millisecond
	// configWait is how long a read of the configurations waits: they are rare,
	// but a connection that goes silent meanwhile shows only after it.
	configWait = 600 * time.Millisecond
	// answerTime is what the way of an answer may take.
	answerTime = 50 * time.Millisecond
	// retryEvery is the pause after a call that failed.
	retryEvery = 500 * time.Millisecond
	// idleEvery is how often a reader that need not read looks whether it must.
	idleEvery = 50 * time.Millisecond
)

// Reader reads the store.
type Reader struct {
	Store   store.Store
	Codec   view.Codec
	State   *view.State
	Contact *Contact
	Logger  hclog.Logger

	direct    atomic.Bool // the node reads the store itself
	lessor    atomic.Bool // the node holds the lessor's lease and needs no read of it
	lost      atomic.Bool // the latest call failed
	register  *Register
	broken    brokenLog
	mu        sync.Mutex
	ownership Ownership
}

// SetDirect tells whether the node must read the store itself.
func (r *Reader) SetDirect(direct bool) { r.direct.Store(direct) }

// SetLessor tells whether the node is the lessor.
func (r *Reader) SetLessor(isLessor bool) { r.lessor.Store(isLessor) }

// Ownership returns what is known of the lessor's lease.
func (r *Reader) Ownership() Ownership {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownership
}

func (r *Reader) mustRead() bool { return r.direct.Load() || r.lessor.Load() }

// RunConfigurations follows the operator's configurations until ctx ends.
func (r *Reader) RunConfigurations(ctx context.Context) {
	next := store.Offset(-1)
	for ctx.Err() == nil {
		if !r.mustRead() {
			clock.Wait(ctx, idleEvery)
			continue
		}
		batch, _, err := r.readFrom(ctx, store.Configurations, next, configWait)
		if err != nil {
			clock.Wait(ctx, retryEvery)
			continue
		}
		next = batch.Next
		for _, record := range batch.Records {
			r.takeConfig(record)
		}
		if isWhole(batch) {
			// A read that waited in vain tells that there was nothing up to its end.
			r.Contact.Note(store.Configurations, clock.Now().Add(-answerTime))
		}
	}
}

// readFrom reads the records from an offset on. If the offset is negative or
// gone it reads a snapshot, the newest record of each key.
func (r *Reader) readFrom(ctx context.Context, topic store.Topic, from store.Offset, wait time.Duration) (batch store.Batch, isSnapshot bool, err error) {
	startedAt := clock.Now()
	err = &store.TrimmedError{Topic: topic}
	if from >= 0 {
		batch, err = r.Store.Read(ctx, topic, from, wait)
	}
	var trimmed *store.TrimmedError
	if errors.As(err, &trimmed) {
		isSnapshot = true
		batch, err = r.Store.Newest(ctx, topic)
	}
	if err == nil && isWhole(batch) {
		r.Contact.Note(topic, startedAt)
	}
	r.note(ctx, topic, err)
	return batch, isSnapshot, err
}

// isWhole reports whether a batch reaches the end of its topic. A node that is
// behind must not tell others that it knows a topic: they would rely on it.
func isWhole(batch store.Batch) bool { return batch.Next >= batch.End }

// note logs when the store is lost and regained.
func (r *Reader) note(ctx context.Context, topic store.Topic, err error) {
	if err == nil {
		if r.lost.Swap(false) {
			eventStoreBack.Log(r.Logger, "topic", topic)
		}
		return
	}
	if ctx.Err() == nil && !r.lost.Swap(true) {
		eventStoreLost.Log(r.Logger, "topic", topic, "cause", err)
	}
}

func (r *Reader) takeConfig(record store.Record) {
	if len(record.Value) == 0 {
		return // the newest configuration stays in force
	}
	config, found, err := r.Codec.Config(record.Key, record.Value)
	if err == nil && found {
		err = config.Check()
	}
	if err != nil {
		eventBadRecord.Log(r.Logger, "topic", store.Configurations, "key", record.Key, "offset", record.Offset, "cause", err)
		return
	}
	if found && r.State.MergeConfig(config) {
		logConfig(r.Logger, config, "store", "offset", record.Offset)
	}
}

// RunServers follows the register of servers and the ownership topic until ctx
// ends.
func (r *Reader) RunServers(ctx context.Context) {
	r.register = NewRegister()
	next, ownership := store.Offset(-1), store.Offset(-1)
	for ctx.Err() == nil {
		if !r.mustRead() || r.lessor.Load() {
			// What was written meanwhile is not read page by page: its newest records
			// say it all. A node 23 pages behind knew only after 9 s that the lease
			// was given up.
			ownership = -1
		}
		if !r.mustRead() {
			r.showServers(clock.Now())
			clock.Wait(ctx, idleEvery)
			continue
		}
		startedAt := time.Now()
		batch, isSnapshot, err := r.readFrom(ctx, store.Servers, next, 0)
		if err == nil {
			r.takeServers(batch, isSnapshot)
			next = batch.Next
		} else {
			r.register.Failed(clock.Now())
		}
		isBehind := err == nil && !isWhole(batch)
		if err == nil && !r.lessor.Load() {
			ownership, err = r.readOwnership(ctx, ownership)
		}
		pause := readEvery - time.Since(startedAt)
		switch {
		case err != nil:
			pause = retryEvery
		case isBehind:
			pause = 0
		}
		clock.Wait(ctx, max(pause, idleEvery))
	}
}

// readOwnership reads the ownership topic from an offset and returns where the
// next read starts.
func (r *Reader) readOwnership(ctx context.Context, from store.Offset) (store.Offset, error) {
	batch, _, err := r.readFrom(ctx, store.Ownership, from, 0)
	if err != nil {
		return from, err
	}
	r.mu.Lock()
	next := r.ownership
	problems := next.fold(batch, clock.Now())
	r.ownership = next
	r.mu.Unlock()
	for _, problem := range problems {
		eventBadRecord.Log(r.Logger, "topic", store.Ownership, "key", problem.Key, "offset", problem.Offset, "cause", problem.Cause)
	}
	if next.Table.Table != nil && r.State.MergeTable(next.Table) {
		lessor := next.Table.Table.Lessor
		eventTable.Log(r.Logger, "offset", next.Table.Offset, "lessor", lessor.Node, "boot", lessor.Boot)
	}
	return batch.Next, nil
}
