// Package guidance defines what the lessor derives from the reports of all nodes and sends to them, so that they serve
// mixed services alike: the relative speeds of servers, the work of routes, and the share of the requests of each
// priority that is admitted. It also decides which services are mixed. It has no I/O, clock or lock.
package guidance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guidance is what the lessor sends to all nodes. It must not be modified once it is shared.
type Guidance struct {
	// Mixed holds the services that serve routes of several priorities, sorted.
	Mixed []site.ServiceName
	// Speeds holds the service time of servers relative to the typical server of their service: 2 is a server that
	// takes twice as long. Servers without an entry are typical.
	Speeds map[site.ServerID]float64
	// Concurrency holds the number of running requests that servers take well, of those that slow down before all of their
	// slots are taken.
	Concurrency map[site.ServerID]int
	// Work holds the mean work of routes at a typical server in seconds, by the name of the route.
	Work map[string]float64
	// Admissions holds the shares of the requests of a service that nodes admit. Services without an entry admit all.
	Admissions map[site.ServiceName]Admission
}

// Admission holds the share, from 0 to 1, of the requests of each priority that nodes admit. Priorities without an entry
// are admitted whole.
type Admission map[int]float64

// Validity is how long nodes go on to treat the site as mixed, and use speeds and work, after they have received guidance.
// It is longer than that of shares of requests: a server's machine stays the same while a lessor is replaced.
const Validity = 30 * time.Second

// MinShare is the share of the requests of each priority that is served in any case, also if these alone exceed the
// capacity: no kind of request may starve, or be served less than a quarter as often as all.
const MinShare = 0.25

// minChange is the least relative change of a figure that is sent before the next repetition. Estimates of speed vary by
// chance by about as much.
const minChange = 0.1

// IsMixed reports whether any service is mixed.
func (g Guidance) IsMixed() bool { return len(g.Mixed) > 0 }

// HasMixed reports whether a service is mixed.
func (g Guidance) HasMixed(service site.ServiceName) bool {
	_, found := slices.BinarySearch(g.Mixed, service)
	return found
}

// DiffersFrom reports whether nodes should be sent this guidance although they have another one.
func (g Guidance) DiffersFrom(other Guidance) bool {
	return !slices.Equal(g.Mixed, other.Mixed) || differ(g.Speeds, other.Speeds) || differ(g.Work, other.Work) || !maps.Equal(g.Concurrency, other.Concurrency) ||
		!maps.EqualFunc(g.Admissions, other.Admissions, func(a, b Admission) bool { return !differ(a, b) })
}

// differ reports whether two sets of figures differ in their keys, or in a figure by more than minChange.
func differ[K comparable](a, b map[K]float64) bool {
	return !maps.EqualFunc(a, b, func(x, y float64) bool { return math.Abs(x-y) <= minChange*max(math.Abs(y), minChange) })
}
