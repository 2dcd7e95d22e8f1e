package ranges

import (
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
)

// Keys are placed by learned speeds where servers differ in speed and requests in work. The measured time of an answer
// contains the server's queue and the kind of its requests, so that placing by it moves keys from a busy server to another
// one and back: 126 of 138 servers were source and target within 18 s.

// UseSpeeds sets the learned speeds by which the keys of the services that they contain are placed. Services without
// speeds are placed by the reported service times.
func (l *Loads) UseSpeeds(speeds speed.Estimates) { l.speeds = speeds }

// unknownDeviation is the relative standard deviation of the speed of a server that has not answered yet.
const unknownDeviation = 0.35

// learnedCost returns the usage of a server without requests, by the mean work of the service and the learned speed.
func learnedCost(server site.Server, learned speed.Service) *usage {
	estimate, known := learned.Servers[server.ID]
	if !known {
		estimate.Relative, estimate.Deviation = 1, unknownDeviation
	}
	cost := learned.Work * estimate.Relative / float64(max(server.Slots, 1))
	return &usage{server: server, cost: cost, isLearned: true, speedDeviation: estimate.Deviation}
}
