package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/broadcast"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Intervals of reading the store that do not depend on the read priority.
const (
	// configWait is how long a read of the configurations waits for a record. It is short
	// although configurations are rare, because a connection that stalls during the wait is
	// detected only after it.
	configWait = 600 * time.Millisecond
	// responseTime is the allowance for the transfer of a response.
	responseTime = 50 * time.Millisecond
	// minReadPause is the minimum time between two reads of a topic.
	minReadPause = 50 * time.Millisecond
	// minTurnWait and maxTurnWait limit the time until a reader that need not read checks
	// again whether it must. With twenty checks per second, hundreds of nodes spend more
	// processor time on them than on the requests of a site with little traffic.
	minTurnWait = 10 * time.Millisecond
	maxTurnWait = time.Second
	// outageCheckInterval is how often one loop checks whether the other has reached the
	// store again.
	outageCheckInterval = 250 * time.Millisecond
	// startReportWait is how long a starting node that has found a lessor in the store
	// waits for a report from the lessor before it reads the other topics.
	startReportWait = 500 * time.Millisecond
	// lessorWatchTime is how long nodes watch for a new lessor after a resignation. A claim
	// follows within half a second.
	lessorWatchTime = time.Second
)

// Reader reads the store.
type Reader struct {
	Store     store.Store
	Codec     view.Codec
	State     *view.State
	Contact   *Contact
	Logger    hclog.Logger
	StartedAt time.Time // start time of the node
	// CanGrantNothing reports whether the node can connect to no keyed server; nil: never.
	CanGrantNothing func() bool

	priority    atomic.Pointer[ReadPriority]
	lessor      atomic.Bool               // the node is the lessor and need not read its own lease
	lost        atomic.Bool               // the latest call failed
	era         atomic.Pointer[store.Era] // of the store, as of the latest read; nil before the first
	serversLost atomic.Bool               // the latest read of the servers failed
	watchUntil  atomic.Pointer[time.Time] // by package clock; until then the node watches for a new lessor
	// lessorNeededSince is when the followed node began to report that a lessor is needed, by package
	// clock; nil: it does not.
	lessorNeededSince atomic.Pointer[time.Time]
	woken             broadcast.Signal // sent when the node may have to read earlier than expected
	ownershipReads    broadcast.Signal // sent after each read of the ownership topic
	registry          *Registry
	invalid           invalidEntryLog
	mu                sync.Mutex
	ownership         Ownership
}

// SetReadPriority sets the node's priority among those that may read the store.
func (r *Reader) SetReadPriority(p ReadPriority) {
	if before := r.priority.Swap(&p); before == nil || *before != p {
		r.woken.Send()
	}
}

// ReadPriority returns the node's priority among those that may read the store.
func (r *Reader) ReadPriority() ReadPriority {
	p := ReadPriority{Rank: -1}
	if known := r.priority.Load(); known != nil {
		p = *known
	}
	p.IsLessor = r.lessor.Load()
	return p
}

// SetLessor sets whether the node is the lessor.
func (r *Reader) SetLessor(isLessor bool) {
	r.lessor.Store(isLessor)
	r.NoteLessorNeeded(false)
	r.woken.Send()
}

// Ownership returns the known state of the lessor's lease.
func (r *Reader) Ownership() Ownership {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownership
}

// OwnershipRead returns a channel that is closed at the next read of the ownership topic.
func (r *Reader) OwnershipRead() <-chan struct{} { return r.ownershipReads.Next() }

// WatchForLessor records that the lessor has resigned. Nodes with the highest read priority
// then read the store at once to find the new lessor.
func (r *Reader) WatchForLessor() {
	until := clock.Now().Add(lessorWatchTime)
	r.watchUntil.Store(&until)
	r.woken.Send()
}

// mustRead reports whether the node must read the store itself now.
func (r *Reader) mustRead() bool {
	age, hasReport := r.reportAge()
	priority := r.ReadPriority()
	until := r.watchUntil.Load()
	watches := priority.isFirst() && until != nil && clock.Now().Before(*until)
	return watches || r.isVacancyReadDue() || priority.mayRead(age, hasReport)
}

// reportAge returns the age of the latest report from another node. If there was none, it
// returns the time since the node's start.
func (r *Reader) reportAge() (age time.Duration, hasReport bool) {
	if age, hasReport = r.Contact.PeerReportAge(); hasReport {
		return age, true
	}
	return clock.Since(r.StartedAt), false
}

// awaitTurn waits until the node may have to read. The caller obtains woken before it calls
// mustRead.
func (r *Reader) awaitTurn(ctx context.Context, woken <-chan struct{}, longest time.Duration) {
	age, hasReport := r.reportAge()
	left := r.ReadPriority().maxReportAge(hasReport) - age
	if untilVacancyRead, isExpected := r.untilVacancyRead(); isExpected {
		left = min(left, untilVacancyRead)
	}
	timer := time.NewTimer(max(min(left+time.Millisecond, longest), minTurnWait))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-woken:
	case <-ctx.Done():
	}
}

// RunConfigurations reads the operator's configurations until ctx ends.
func (r *Reader) RunConfigurations(ctx context.Context) {
	next := store.Offset(-1)
	failures := 0
	evacuated := evacuatedZones{}
	for ctx.Err() == nil {
		woken := r.woken.Next()
		if !r.mustRead() {
			r.awaitTurn(ctx, woken, maxTurnWait)
			continue
		}
		if r.serversLost.Load() {
			clock.Wait(ctx, outageCheckInterval) // the other loop detects when the store responds again
			continue
		}
		batch, isSnapshot, err := r.readFrom(ctx, store.Configurations, next, configWait)
		if err != nil {
			failures++
			clock.Wait(ctx, r.ReadPriority().retryPause(failures))
			continue
		}
		failures = 0
		next = batch.Next
		// The zones come first: requests are served as soon as there is a configuration.
		r.applyEvacuations(evacuated, batch, isSnapshot)
		for _, record := range batch.Records {
			r.applyConfig(record)
		}
		if isComplete(batch) {
			// A read that returned nothing shows that there was no record until its end.
			r.Contact.Note(store.Configurations, clock.Now().Add(-responseTime))
		}
	}
}

// readFrom reads the records from an offset. If the offset is negative or trimmed, it reads
// a snapshot, which contains the newest record of each key.
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
	if err == nil && isComplete(batch) {
		r.Contact.Note(topic, startedAt)
	}
	if err == nil {
		r.noteEra(topic, from, batch.End)
	}
	r.noteResult(ctx, topic, err)
	return batch, isSnapshot, err
}

// isComplete reports whether a batch reaches the end of its topic. A node that is behind
// must not report a topic as known, because other nodes would rely on it.
func isComplete(batch store.Batch) bool { return batch.Next >= batch.End }

// noteEra logs when the store has come back from a copy. from is the offset from which a topic was to be read.
func (r *Reader) noteEra(topic store.Topic, from, end store.Offset) {
	era := end.Era()
	before := r.era.Load()
	isLater := before == nil || *before < era
	if !isLater || !r.era.CompareAndSwap(before, &era) || before == nil {
		return
	}
	eraChanges.Add(1)
	eventEra.Log(r.Logger, "from", *before, "to", era, "topic", topic, "offset", max(from, 0).Place(), "end", end.Place())
}

// Era returns the era of the store as of the latest read.
func (r *Reader) Era() store.Era {
	if era := r.era.Load(); era != nil {
		return *era
	}
	return 0
}

// noteResult logs when the store becomes unavailable and available.
func (r *Reader) noteResult(ctx context.Context, topic store.Topic, err error) {
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

func (r *Reader) applyConfig(record store.Record) {
	if len(record.Value) == 0 {
		return // the newest configuration remains in force
	}
	if _, isEvacuation := r.Codec.Evacuation(record.Key); isEvacuation {
		return
	}
	config, found, err := r.Codec.Config(record.Key, record.Value)
	if err == nil && found {
		err = config.Check()
	}
	if err != nil {
		eventInvalidRecord.Log(r.Logger, "topic", store.Configurations, "key", record.Key, "offset", record.Offset, "cause", err)
		return
	}
	if found && r.State.MergeConfig(config) {
		logConfig(r.Logger, config, "store", "offset", record.Offset)
	}
}

// RunServers reads the servers' topic and the ownership topic until ctx ends.
func (r *Reader) RunServers(ctx context.Context) {
	r.registry = NewRegistry()
	turn := readTurn{servers: -1, ownership: -1}
	for ctx.Err() == nil {
		woken := r.woken.Next()
		if !r.mustRead() {
			r.endTurn(&turn)
			r.publishServers(clock.Now())
			r.awaitTurn(ctx, woken, r.registry.nextExpiry(clock.Now(), maxTurnWait))
			continue
		}
		if !turn.isReading {
			r.beginTurn(ctx, &turn)
			continue
		}
		startedAt := time.Now()
		isBehind, err := r.readBoth(ctx, &turn)
		pause := r.ReadPriority().interval() - time.Since(startedAt)
		switch {
		case err != nil:
			turn.failures++
			pause = r.ReadPriority().retryPause(turn.failures)
		case isBehind:
			pause = 0
		}
		clock.Wait(ctx, max(pause, minReadPause))
	}
}

// readTurn is the state of a period in which a node reads servers and ownership.
type readTurn struct {
	isReading          bool
	servers, ownership store.Offset // offsets of the next reads; negative for a snapshot
	failures           int          // consecutive failed calls
}

// beginTurn starts reading the store. Records that other nodes have reported are not read
// again. A starting node first checks whether there is a lessor that can report the rest.
func (r *Reader) beginTurn(ctx context.Context, t *readTurn) {
	t.isReading = true
	t.failures = 0
	priority := r.ReadPriority()
	age, hasReport := r.Contact.PeerReportAge()
	reason := priority.reason(hasReport)
	if r.isVacancyReadDue() {
		reason = "there is no lessor, and the nodes that read could grant nothing"
	}
	eventReadingStarted.Log(r.Logger, "reason", reason, "rank", priority.Rank, "toldAge", age)
	if reported := r.Contact.Next(); reported > t.servers && r.State.Now().Servers.Offset > 0 {
		r.registry.Adopt(r.State.Now().Servers, reported, clock.Now())
		t.servers = reported
	}
	if hasReport || priority.isFirst() {
		return
	}
	from, err := r.readOwnership(ctx, t.ownership)
	if err == nil && r.State.Now().Routes.Lessor.Boot != "" {
		t.ownership = from
		clock.Wait(ctx, startReportWait)
	}
}

// endTurn stops reading the store. The next turn starts with a snapshot of the ownership
// topic instead of the pages since this one, because the newest records are sufficient: a
// node that was 23 pages behind noticed a resignation only after 9 s.
func (r *Reader) endTurn(t *readTurn) {
	if !t.isReading {
		return
	}
	t.isReading = false
	t.ownership = -1
	r.serversLost.Store(false)
	r.registry.ClearFailures()
	eventReadingStopped.Log(r.Logger)
}

// readBoth reads the servers' topic, and the ownership topic unless the node is the lessor.
// It reports whether more records of the servers' topic must be read at once.
func (r *Reader) readBoth(ctx context.Context, t *readTurn) (isBehind bool, err error) {
	batch, isSnapshot, err := r.readFrom(ctx, store.Servers, t.servers, 0)
	r.serversLost.Store(err != nil)
	if err != nil {
		r.registry.NoteReadFailed(clock.Now())
		return false, err
	}
	t.failures = 0
	r.applyServers(batch, isSnapshot)
	t.servers = batch.Next
	r.Contact.NoteApplied(batch.Next)
	if r.lessor.Load() {
		t.ownership = -1
	} else {
		t.ownership, err = r.readOwnership(ctx, t.ownership)
	}
	return !isComplete(batch), err
}

// readOwnership reads the ownership topic from an offset and returns the offset of the next
// read.
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
	r.ownershipReads.Send()
	for _, problem := range problems {
		eventInvalidRecord.Log(r.Logger, "topic", store.Ownership, "key", problem.Key, "offset", problem.Offset, "cause", problem.Cause)
	}
	if next.Table.Table != nil && r.State.MergeTable(next.Table) {
		lessor := next.Table.Table.Lessor
		eventTable.Log(r.Logger, "offset", next.Table.Offset, "lessor", lessor.Node, "boot", lessor.Boot)
	}
	mergeQuarantine(r.State, r.Logger, next.Quarantine, "store")
	return batch.Next, nil
}
