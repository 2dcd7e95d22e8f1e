package server

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Faults configures the injected faults of a server, which last until they are
// replaced. The zero value injects none.
type Faults struct {
	// Slow multiplies every service time; values up to 1 have no effect.
	Slow float64 `json:"slow"`
	// ShedRatio is the fraction of requests that are shed below the concurrency
	// limit.
	ShedRatio float64 `json:"shedRatio"`
	// LoseRatio is the fraction of answers that are dropped after the request ran:
	// the server closes the connection instead.
	LoseRatio float64 `json:"loseRatio"`
	// LoseNext is the number of next answers that are dropped like those of
	// LoseRatio.
	LoseNext int `json:"loseNext"`
	// Load, when set, is reported in place of the actual load.
	Load *serverapi.Load `json:"load,omitempty"`
	// IgnoreFences runs requests for shards that the server does not own.
	IgnoreFences bool `json:"ignoreFences"`
	// IgnoreTickets runs requests with repeated tickets again.
	IgnoreTickets bool `json:"ignoreTickets"`
	// WrongRequestID echoes an ID other than the request's.
	WrongRequestID bool `json:"wrongRequestId"`
}

// faultState guards the faults and the server's random number generator.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

func newFaultState(seed uint64) *faultState {
	const stream = 0x5eed
	return &faultState{random: rand.New(rand.NewPCG(seed, stream))}
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// shed draws whether a request is shed by fault injection.
func (f *faultState) shed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.ShedRatio > 0 && f.random.Float64() < f.faults.ShedRatio
}

// dropAnswer draws whether an answer is dropped by fault injection.
func (f *faultState) dropAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseNext > 0 {
		f.faults.LoseNext--
		return true
	}
	return f.faults.LoseRatio > 0 && f.random.Float64() < f.faults.LoseRatio
}

// serviceTime draws the service time of a request in an incarnation of the given
// age.
func (f *faultState) serviceTime(dist ServiceTime, cold ColdStart, age time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	seconds := dist.Mean.Seconds()
	if dist.Shape > 0 {
		// The mean of exp(N(-σ²/2, σ²)) is 1.
		normal := f.random.NormFloat64()
		seconds *= math.Exp(dist.Shape*normal - dist.Shape*dist.Shape/2)
	}
	seconds *= cold.factor(age) * max(1, f.faults.Slow)
	return time.Duration(seconds * float64(time.Second))
}

// factor returns the factor on the service time in an incarnation of the given
// age.
func (c ColdStart) factor(age time.Duration) float64 {
	if age >= c.Duration || c.Factor <= 1 {
		return 1
	}
	remaining := 1 - float64(age)/float64(c.Duration)
	return 1 + (c.Factor-1)*remaining
}
