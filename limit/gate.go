package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Gate is the admission point of one server. Methods may be called
// concurrently.
type Gate struct {
	service *serviceCount

	mu       sync.Mutex
	queue    *Queue
	waiters  map[uint64]chan *RefusedError // each gets at most one value; nil is a grant
	sequence uint64
	counts   Counts

	queued atomic.Int64 // copy of the queue's length that is read without mu
}

// serviceCount limits the number of requests of a service that wait on this node.
type serviceCount struct {
	waiting atomic.Int64
	max     atomic.Int64
}

// Counts are a gate's cumulative totals.
type Counts struct {
	Granted    uint64
	Served     uint64
	Overloaded uint64
	Failed     uint64
	Refused    map[serverapi.Reason]uint64
}

// RefusedError reports that a request was not granted a slot and was not sent.
type RefusedError struct{ Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return "no free slot at the server: " + string(e.Reason) }

func newGate(service *serviceCount, spec Spec, now time.Time) *Gate {
	return &Gate{
		service: service,
		queue:   NewQueue(spec, now),
		waiters: map[uint64]chan *RefusedError{},
		counts:  Counts{Refused: map[serverapi.Reason]uint64{}},
	}
}

// Permit is a slot at the server. Release must be called; further calls have no
// effect.
type Permit struct {
	gate *Gate
	id   uint64
	once sync.Once
}

// Release releases the slot.
func (p *Permit) Release(result Result) {
	p.once.Do(func() { p.gate.release(p.id, result) })
}

// Acquire waits for a slot for an entry, whose ID the gate assigns. It returns a
// *RefusedError as soon as the queue expects no slot before the deadline, or the
// context's error.
func (g *Gate) Acquire(ctx context.Context, entry Entry) (*Permit, error) {
	entry, answer := g.enqueue(entry)
	select {
	case refused := <-answer:
		return g.permit(entry, refused)
	default:
	}
	select {
	case refused := <-answer:
		return g.permit(entry, refused)
	case <-ctx.Done():
		return g.cancelWait(ctx, entry, answer)
	}
}

func (g *Gate) permit(entry Entry, refused *RefusedError) (*Permit, error) {
	if refused != nil {
		return nil, refused
	}
	return &Permit{gate: g, id: entry.ID}, nil
}

// cancelWait stops waiting after the context ended. If a slot was granted in the
// meantime, it is released.
func (g *Gate) cancelWait(ctx context.Context, entry Entry, answer chan *RefusedError) (*Permit, error) {
	g.mu.Lock()
	waited := g.queue.Cancel(entry)
	if waited {
		delete(g.waiters, entry.ID)
		g.service.waiting.Add(-1)
		g.queued.Store(int64(g.queue.Queued()))
	}
	g.mu.Unlock()
	if !waited && <-answer == nil {
		g.release(entry.ID, Result{})
	}
	return nil, ctx.Err()
}

func (g *Gate) enqueue(entry Entry) (Entry, chan *RefusedError) {
	answer := make(chan *RefusedError, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	entry.ID = g.sequence
	g.waiters[entry.ID] = answer
	g.service.waiting.Add(1)
	g.deliver(g.queue.Offer(time.Now(), entry, g.service.waiting.Load() > g.service.max.Load()))
	return entry, answer
}

func (g *Gate) release(id uint64, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.Overloaded {
		g.counts.Overloaded++
	}
	if result.Served {
		g.counts.Served++
	}
	if result.Failed {
		g.counts.Failed++
	}
	g.deliver(g.queue.Finish(time.Now(), id, result))
}

// sweep refuses waiting requests that can no longer be served in time.
func (g *Gate) sweep(now time.Time) {
	if g.queued.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Sweep(now))
}

// deliver notifies waiting requests of their outcome. The caller holds mu.
func (g *Gate) deliver(changes Changes) {
	for _, id := range changes.Granted {
		g.counts.Granted++
		g.notify(id, nil)
	}
	for _, refused := range changes.Refused {
		g.counts.Refused[refused.Reason]++
		g.notify(refused.ID, &RefusedError{Refusal: refused.Refusal})
	}
	g.queued.Store(int64(g.queue.Queued()))
}

func (g *Gate) notify(id uint64, refused *RefusedError) {
	answer, waits := g.waiters[id]
	if !waits {
		return
	}
	delete(g.waiters, id)
	g.service.waiting.Add(-1)
	answer <- refused
}

// RestartRamp restarts the ramp of a server that is cold again.
func (g *Gate) RestartRamp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RestartRamp(time.Now())
}

// Stats is a gate's state for dumps, metrics and the picker.
type Stats struct {
	InFlight int
	Queued   int
	Peak     int
	Window   int
	MeanBusy time.Duration
	Counts   Counts
}

// Stats returns the gate's state now.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := Stats{
		InFlight: g.queue.InFlight(),
		Queued:   g.queue.Queued(),
		Peak:     g.queue.Peak(),
		Window:   g.queue.Window(time.Now()),
		MeanBusy: g.queue.MeanBusy(),
		Counts:   g.counts,
	}
	stats.Counts.Refused = make(map[serverapi.Reason]uint64, len(g.counts.Refused))
	for reason, count := range g.counts.Refused {
		stats.Counts.Refused[reason] = count
	}
	return stats
}

// Load returns the number of requests that hold a slot or wait, and the number of
// slots. It does not allocate.
func (g *Gate) Load() (held, window int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.InFlight() + g.queue.Queued(), g.queue.Window(time.Now())
}

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int { return int(g.queued.Load()) }
