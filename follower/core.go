package follower

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Follower implements state.Source, Appender and Contact. It runs one goroutine
// each for reading the log, reading from peers, applying (the only owner of the
// state), appending, and writing checkpoints.
type Follower struct {
	config Config
	writer string

	published atomic.Pointer[publication]
	contact   atomic.Pointer[contactState]
	source    atomic.Pointer[topo.NodeID]
	failing   atomic.Bool // the latest log read failed
	ring      *ring
	outcomes  *outcomes
	schedule  *checkpointSchedule

	readTimeout   *adaptiveTimeout
	appendTimeout *adaptiveTimeout

	inbox chan message     // to the applier
	queue chan *submission // to the appender

	cancel  context.CancelFunc
	running sync.WaitGroup
	done    chan struct{} // closed when stopped
}

var (
	_ state.Source = (*Follower)(nil)
	_ Appender     = (*Follower)(nil)
	_ Contact      = (*Follower)(nil)
)

// publication is a view and a channel that is closed when a newer view exists.
type publication struct {
	view    *state.View
	changed chan struct{}
}

// contactState is the time of the latest contact and a channel that is closed
// when contact is renewed.
type contactState struct {
	at      time.Time
	renewed chan struct{}
}

// New returns a follower with an empty state.
func New(config Config) *Follower {
	config = config.withDefaults()
	f := &Follower{
		config:   config,
		writer:   record.Writer(config.Node, config.Boot),
		ring:     newRing(ringEntries, ringBytes),
		outcomes: newOutcomes(),
		schedule: newCheckpointSchedule(),
		inbox:    make(chan message, inboxLength),
		queue:    make(chan *submission, queueLength),
		done:     make(chan struct{}),

		readTimeout:   newAdaptiveTimeout(config.CallTimeout, maxCallTimeout),
		appendTimeout: newAdaptiveTimeout(config.CallTimeout, maxCallTimeout),
	}
	f.published.Store(&publication{view: state.New().View(), changed: make(chan struct{})})
	f.contact.Store(&contactState{renewed: make(chan struct{})})
	f.source.Store(new(topo.NodeID))
	appliedAges.Set(string(config.Node), expvar.Func(func() any { return f.contactAge(f.now()) }))
	return f
}

// Start starts the follower's goroutines. It does not wait for the log.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, duty := range []func(context.Context){
		f.runApplier, f.runLogReader, f.runPeerReader, f.runAppender, f.runCheckpoints,
	} {
		f.running.Go(func() { duty(ctx) })
	}
}

// Stop stops the goroutines. Submissions in flight end with an error.
func (f *Follower) Stop() {
	if f.cancel == nil {
		return
	}
	f.cancel()
	f.running.Wait()
	close(f.done)
	f.cancel = nil
	appliedAges.Delete(string(f.config.Node))
}

// View implements state.Source.
func (f *Follower) View() *state.View { return f.published.Load().view }

// Changed implements state.Source. Callers get the channel before the view, so
// that they miss no change.
func (f *Follower) Changed() <-chan struct{} { return f.published.Load().changed }

// WaitApplied implements state.Source. It fails with the context's error or a
// *StoppedError.
func (f *Follower) WaitApplied(ctx context.Context, offset topo.Offset) error {
	for {
		now := f.published.Load()
		if now.view.Applied() >= offset {
			return nil
		}
		select {
		case <-now.changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-f.done:
			return &StoppedError{}
		}
	}
}

// LastContact implements Contact.
func (f *Follower) LastContact() time.Time { return f.contact.Load().at }

// renewContact publishes a newer contact. The view that it refers to must have
// been published before.
func (f *Follower) renewContact(at time.Time) {
	old := f.contact.Swap(&contactState{at: at, renewed: make(chan struct{})})
	close(old.renewed)
}

// now returns the time of the clock that contact is measured by.
func (f *Follower) now() time.Time { return f.config.Now() }

// Failing implements Contact.
func (f *Follower) Failing() bool { return f.failing.Load() }

func (f *Follower) applied() topo.Offset { return f.View().Applied() }

// publish makes a newer view visible.
func (f *Follower) publish(view *state.View) {
	old := f.published.Swap(&publication{view: view, changed: make(chan struct{})})
	close(old.changed)
	offsetOf(appliedOffsets, f.config.Node).Set(int64(view.Applied()))
}

// backoff is an exponential delay from initialBackoff to maxBackoff, with jitter
// that differs between nodes.
type backoff struct {
	random *rand.Rand
	next   time.Duration
}

func (f *Follower) newBackoff() *backoff {
	seed := xxhash.Sum64String(f.writer)
	return &backoff{random: rand.New(rand.NewPCG(seed, seed)), next: initialBackoff}
}

func (b *backoff) reset() { b.next = initialBackoff }

// wait sleeps for the next delay. It returns false when ctx ends.
func (b *backoff) wait(ctx context.Context) bool {
	pause := b.next/2 + time.Duration(b.random.Int64N(int64(b.next)))
	b.next = min(2*b.next, maxBackoff)
	return clock.Wait(ctx, pause)
}
