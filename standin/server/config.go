// Package server is the stand-in backend server: it implements the published
// protocol of package serverapi, keeps a counter per key in memory, counts its
// requests and connections, and supports fault injection. It is meant for tests,
// the demo and experiments, and as an example for authors of backend servers;
// docs/SERVERS.md describes the protocol.
package server

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Config describes one stand-in server. Only ID is required.
type Config struct {
	ID      topo.ServerID
	Service topo.Service
	// Keyed servers own shards; others accept any request of their service.
	Keyed bool
	// ChecksFencing servers refuse requests for shards that they do not own, and
	// keep a record of tickets.
	ChecksFencing bool
	// Concurrency is the maximum number of concurrent requests; the server sheds
	// requests above it. 0 means no limit.
	Concurrency int
	// Connections is the maximum number of open connections; the server closes
	// connections above it as soon as it accepts them. 0 means no limit.
	Connections int
	ServiceTime ServiceTime
	ColdStart   ColdStart
	// DriftPPM is the rate in parts per million by which the server's clock is
	// faster than the shared clock; negative if it is slower.
	DriftPPM int
	Seed     uint64
	Tickets  ticket.Limits
	// Clock is the history's shared clock; by default a clock that starts now.
	Clock    history.Clock
	Recorder history.Recorder
	// NewBoot returns the boot ID of each incarnation; by default a random one.
	NewBoot func() topo.BootID
	Logger  hclog.Logger
}

// ServiceTime is the log-normal distribution of the service time of a request,
// given by its mean and shape. With shape 0 every request takes the mean.
type ServiceTime struct {
	Mean  time.Duration
	Shape float64
}

// ColdStart slows down the first requests of an incarnation: it multiplies the
// service time by Factor at the start, decreasing linearly to 1 over Duration.
type ColdStart struct {
	Factor   float64
	Duration time.Duration
}

// Direction is the direction in which a connection is stalled, as seen from the
// server.
type Direction string

// Directions.
const (
	DirectionIn   Direction = "in"   // the server receives nothing
	DirectionOut  Direction = "out"  // nothing that the server writes is delivered
	DirectionBoth Direction = "both" // both
)

const bootBytes = 8

func (c Config) withDefaults() Config {
	if c.Tickets == (ticket.Limits{}) {
		c.Tickets = ticket.DefaultLimits()
	}
	if c.Clock == nil {
		c.Clock = history.ClockSince(time.Now())
	}
	if c.Recorder == nil {
		c.Recorder = history.Discard{}
	}
	if c.NewBoot == nil {
		c.NewBoot = randomBoot
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

func randomBoot() topo.BootID {
	random := make([]byte, bootBytes)
	_, _ = rand.Read(random) // never fails
	return topo.BootID(hex.EncodeToString(random))
}
