// Package server is the stand-in backend server: it follows the published
// protocol of package serverapi, keeps a counter per key in memory, counts what
// reaches it, and can be told to misbehave. It is for tests, demo, experiment
// and as an example for people who write backend servers; docs/SERVERS.md is
// the text that goes with it.
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
	// Keyed servers own shards; others take any request of their service.
	Keyed bool
	// ChecksFencing servers refuse requests for shards that they do not own,
	// and keep the record of tickets.
	ChecksFencing bool
	// Concurrency is the most requests run at once; more are shed. 0 means no
	// limit.
	Concurrency int
	// Connections is the most connections open at once; more are closed as
	// soon as they are accepted. 0 means no limit.
	Connections int
	ServiceTime ServiceTime
	ColdStart   ColdStart
	// DriftPPM is how much faster than true time the server's clock runs, in
	// parts per million; negative for slower.
	DriftPPM int
	Seed     uint64
	Tickets  ticket.Limits
	// Clock is the history's shared clock; by default one that starts now.
	Clock    history.Clock
	Recorder history.Recorder
	// NewBoot names each run of the server; by default at random.
	NewBoot func() topo.BootID
	Logger  hclog.Logger
}

// ServiceTime is the distribution of the time that one request takes: log-normal
// with a mean and a shape. Shape 0 makes every request take the mean.
type ServiceTime struct {
	Mean  time.Duration
	Shape float64
}

// ColdStart makes the first requests of a run slow: Factor times the service
// time at the start, falling in a straight line to 1 over Duration.
type ColdStart struct {
	Factor   float64
	Duration time.Duration
}

// Direction says in which direction a connection goes silent, as seen from the
// server.
type Direction string

// Directions.
const (
	DirectionIn   Direction = "in"   // nothing reaches the server
	DirectionOut  Direction = "out"  // nothing that the server writes arrives
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
