// Package routertest has what tests of the request path need around a router: a
// backend.Driver in memory whose servers do as they are told, and nodes with
// real listeners on the loopback interface.
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

// Attempt is one attempt as a server saw it.
type Attempt struct {
	Server topo.ServerID
	Req    backend.Request
	Body   []byte
	At     time.Time
	// Outcome is what the server's side knows of the attempt.
	Outcome serverapi.Outcome
}

// MayHaveRun reports whether the attempt ran or may have run.
func (a Attempt) MayHaveRun() bool { return a.Outcome != serverapi.OutcomeNotRun }

// Driver is a backend.Driver in memory, shared by the nodes of a test. It
// counts what each server holds at once and keeps every attempt.
type Driver struct {
	mu       sync.Mutex
	behave   map[topo.ServerID]Behaviour
	attempts []Attempt
	held     map[topo.ServerID]int
	peak     map[topo.ServerID]int
}

// NewDriver returns a driver whose servers answer every request.
func NewDriver() *Driver {
	return &Driver{
		behave: map[topo.ServerID]Behaviour{},
		held:   map[topo.ServerID]int{},
		peak:   map[topo.ServerID]int{},
	}
}

// Set changes what a server does from the next request on.
func (d *Driver) Set(id topo.ServerID, b Behaviour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.behave[id] = b
}

// Attempts returns every attempt so far.
func (d *Driver) Attempts() []Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Attempt(nil), d.attempts...)
}

// Peak is the most requests that a server held at once.
func (d *Driver) Peak(id topo.ServerID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak[id]
}

// Held is how many requests a server holds now.
func (d *Driver) Held(id topo.ServerID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held[id]
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
	place := d.keep(attempt)
	response, err := behave(ctx, req)
	d.settle(place, response, err)
	if err != nil {
		d.leave(to.ID)
		return nil, err
	}
	response.Body = &heldBody{ReadCloser: response.Body, done: func() { d.leave(to.ID) }}
	return response, nil
}

func (d *Driver) enter(id topo.ServerID) Behaviour {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[id]++
	d.peak[id] = max(d.peak[id], d.held[id])
	if behave := d.behave[id]; behave != nil {
		return behave
	}
	return Answer(200, "answer of "+string(id))
}

func (d *Driver) leave(id topo.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[id]--
}

func (d *Driver) keep(a Attempt) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = append(d.attempts, a)
	return len(d.attempts) - 1
}

// settle keeps what became of an attempt.
func (d *Driver) settle(place int, response *backend.Response, err error) {
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
	d.attempts[place].Outcome = outcome
}

// Lease implements backend.Driver; nothing here uses it.
func (d *Driver) Lease(context.Context, backend.Target, serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	return serverapi.LeaseReply{}, nil
}

// Acknowledge implements backend.Driver; nothing here uses it.
func (d *Driver) Acknowledge(context.Context, backend.Target, serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error) {
	return serverapi.LeaseReply{}, nil
}

// Forget implements backend.Driver.
func (d *Driver) Forget(topo.ServerID) {}

// heldBody gives the server's place back when it is closed.
type heldBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.once.Do(b.done)
	return b.ReadCloser.Close()
}
