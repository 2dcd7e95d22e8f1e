// Package routertest provides test doubles for tests of the request path: a
// backend.Driver in memory whose servers have configurable behaviours, and nodes
// with listeners on the loopback interface or on a network in memory.
package routertest

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Behaviour is what a server does with one request whose body it has read.
type Behaviour func(ctx context.Context, req backend.Request) (*backend.Response, error)

// Attempt is one attempt as a server received it.
type Attempt struct {
	Server topo.ServerID
	Req    backend.Request
	Body   []byte
	At     time.Time
	// Outcome is the outcome of the attempt at the server.
	Outcome serverapi.Outcome
}

// MayHaveRun reports whether the attempt ran or may have run.
func (a Attempt) MayHaveRun() bool { return a.Outcome != serverapi.OutcomeNotRun }

// Driver is a backend.Driver in memory, shared by the nodes of a test. It
// counts each server's concurrent requests and records every attempt.
type Driver struct {
	mu         sync.Mutex
	behaviours map[topo.ServerID]Behaviour
	attempts   []Attempt
	inFlight   map[topo.ServerID]int
	peak       map[topo.ServerID]int
}

// NewDriver returns a driver whose servers answer every request.
func NewDriver() *Driver {
	return &Driver{
		behaviours: map[topo.ServerID]Behaviour{},
		inFlight:   map[topo.ServerID]int{},
		peak:       map[topo.ServerID]int{},
	}
}

// Set changes a server's behaviour for subsequent requests.
func (d *Driver) Set(id topo.ServerID, b Behaviour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.behaviours[id] = b
}

// Attempts returns all attempts made so far.
func (d *Driver) Attempts() []Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Attempt(nil), d.attempts...)
}

// Peak returns the maximum number of concurrent requests at a server.
func (d *Driver) Peak(id topo.ServerID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak[id]
}

// InFlight returns the number of requests in flight at a server.
func (d *Driver) InFlight(id topo.ServerID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight[id]
}

// Do implements backend.Driver.
func (d *Driver) Do(ctx context.Context, to backend.Target, req backend.Request) (*backend.Response, error) {
	behave := d.enter(to.ID)
	attempt := Attempt{Server: to.ID, Req: req, At: time.Now()}
	if req.Body != nil {
		var err error
		if attempt.Body, err = io.ReadAll(req.Body); err != nil {
			d.leave(to.ID)
			return nil, &backend.AttemptError{Server: to.ID, Sent: true, Cause: err}
		}
	}
	index := d.record(attempt)
	response, err := behave(ctx, req)
	d.recordOutcome(index, response, err)
	if err != nil {
		d.leave(to.ID)
		return nil, err
	}
	response.Body = &releasingBody{ReadCloser: response.Body, done: func() { d.leave(to.ID) }}
	return response, nil
}

func (d *Driver) enter(id topo.ServerID) Behaviour {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[id]++
	d.peak[id] = max(d.peak[id], d.inFlight[id])
	if behave := d.behaviours[id]; behave != nil {
		return behave
	}
	return Answer(200, "answer of "+string(id))
}

func (d *Driver) leave(id topo.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[id]--
}

func (d *Driver) record(a Attempt) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = append(d.attempts, a)
	return len(d.attempts) - 1
}

// recordOutcome stores the outcome of an attempt.
func (d *Driver) recordOutcome(index int, response *backend.Response, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome := serverapi.OutcomeUnknown
	var failed *backend.AttemptError
	switch {
	case response != nil:
		outcome = response.Outcome
	case errors.As(err, &failed) && !failed.Sent:
		outcome = serverapi.OutcomeNotRun
	}
	d.attempts[index].Outcome = outcome
}

// Lease implements backend.Driver; it does nothing.
func (d *Driver) Lease(context.Context, backend.Target, serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	return serverapi.LeaseReply{}, nil
}

// Acknowledge implements backend.Driver; it does nothing.
func (d *Driver) Acknowledge(context.Context, backend.Target, serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error) {
	return serverapi.LeaseReply{}, nil
}

// Forget implements backend.Driver.
func (d *Driver) Forget(topo.ServerID) {}

// releasingBody decrements the server's requests in flight when it is closed.
type releasingBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.once.Do(b.done)
	return b.ReadCloser.Close()
}
