package server

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Faults are the standing misbehaviours of a server. The zero value is a server
// that behaves.
type Faults struct {
	// Slow multiplies every service time; values up to 1 change nothing.
	Slow float64 `json:"slow"`
	// ShedRatio of requests are shed although there is room.
	ShedRatio float64 `json:"shedRatio"`
	// LoseRatio of answers are dropped after the request ran: the connection is
	// closed instead.
	LoseRatio float64 `json:"loseRatio"`
	// LoseNext is how many of the next answers are dropped in the same way.
	LoseNext int `json:"loseNext"`
	// Load, when set, is reported in place of the true one.
	Load *serverapi.Load `json:"load,omitempty"`
	// IgnoreFences runs requests for shards that the server does not own.
	IgnoreFences bool `json:"ignoreFences"`
	// IgnoreTickets runs repeated tickets again.
	IgnoreTickets bool `json:"ignoreTickets"`
	// WrongRequestID echoes another request's ID.
	WrongRequestID bool `json:"wrongRequestId"`
}

// faultBox guards the faults and the server's random numbers.
type faultBox struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

func newFaultBox(seed uint64) *faultBox {
	const stream = 0x5eed
	return &faultBox{random: rand.New(rand.NewPCG(seed, stream))}
}

func (b *faultBox) set(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// shed decides whether a request is shed on purpose.
func (b *faultBox) shed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.ShedRatio > 0 && b.random.Float64() < b.faults.ShedRatio
}

// lose decides whether an answer is dropped.
func (b *faultBox) lose() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.LoseNext > 0 {
		b.faults.LoseNext--
		return true
	}
	return b.faults.LoseRatio > 0 && b.random.Float64() < b.faults.LoseRatio
}

// serviceTime draws the time that one request takes on a server that has run
// for age.
func (b *faultBox) serviceTime(dist ServiceTime, cold ColdStart, age time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	seconds := dist.Mean.Seconds()
	if dist.Shape > 0 {
		// The mean of exp(N(-σ²/2, σ²)) is 1.
		normal := b.random.NormFloat64()
		seconds *= math.Exp(dist.Shape*normal - dist.Shape*dist.Shape/2)
	}
	seconds *= cold.factor(age) * max(1, b.faults.Slow)
	return time.Duration(seconds * float64(time.Second))
}

// factor returns by how much a server that has run for age is slower.
func (c ColdStart) factor(age time.Duration) float64 {
	if age >= c.Duration || c.Factor <= 1 {
		return 1
	}
	left := 1 - float64(age)/float64(c.Duration)
	return 1 + (c.Factor-1)*left
}
