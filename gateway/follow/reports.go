package follow

import (
	"slices"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Reports collects this node's observations for the lessor. It is safe for concurrent use.
type Reports struct {
	mu    sync.Mutex
	keys  map[serviceKey]uint32
	stats map[serverRoute]serverStats
	// classes counts the requests of callers by service and priority.
	classes map[serviceClass]classCount
	// crashes holds the crashes to report, and answered the suspected requests that a server
	// has answered.
	crashes  map[crash]crashState
	answered map[quarantine.Fingerprint]bool
	urgent   chan struct{}
}

type serviceKey struct {
	service site.ServiceName
	key     ranges.Key
}

// serverRoute identifies the answers of a server to the requests of a route. The route is empty unless the site is mixed.
type serverRoute struct {
	server site.ServerID
	route  string
}

type serverStats struct {
	count   uint64
	total   time.Duration // without the wait in the server's queue, by the estimate of each answer
	answers uint32        // responses that contained the server's load
	present uint32        // sum of the server's requests over these responses
	// The fields below are of mixed sites.
	answerTime   time.Duration // sum, the wait in the server's queue included
	busy, queued uint32        // sums over the answers: slots taken and requests waiting, without the answered one
	left         []uint32      // answers by the number of requests left; the last element stands for all slots taken
}

type serviceClass struct {
	service  site.ServiceName
	priority int
}

type classCount struct{ requests, returned uint32 }

// maxKeyReports limits the number of keys in a report.
const maxKeyReports = 1000

// NewReports returns an empty collection.
func NewReports() *Reports {
	return &Reports{
		keys:     map[serviceKey]uint32{},
		stats:    map[serverRoute]serverStats{},
		classes:  map[serviceClass]classCount{},
		crashes:  map[crash]crashState{},
		answered: map[quarantine.Fingerprint]bool{},
		urgent:   make(chan struct{}, 1),
	}
}

// CountKey counts a request for a key, whether or not it can be served.
func (r *Reports) CountKey(service site.ServiceName, key ranges.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(serviceKey{service, key}, 1)
}

// count adds requests for a key. The caller holds the lock.
func (r *Reports) count(k serviceKey, requests uint32) {
	if _, exists := r.keys[k]; exists || len(r.keys) < maxKeyReports {
		r.keys[k] += requests
	}
}

// CountClass counts a request of a caller by its priority, whether or not it can be served. hasReturned reports that it
// has been refused before.
func (r *Reports) CountClass(service site.ServiceName, priority int, hasReturned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := classCount{requests: 1}
	if hasReturned {
		count.returned = 1
	}
	r.addClass(serviceClass{service, priority}, count)
}

// addClass adds to the requests of a class. The caller holds the lock.
func (r *Reports) addClass(class serviceClass, count classCount) {
	if priority := class.priority; priority < 0 || priority > maxReportedPriority {
		return
	}
	sum := r.classes[class]
	sum.requests += count.requests
	sum.returned += count.returned
	r.classes[class] = sum
}

// maxReportedPriority is the highest number of a priority whose requests are reported.
const maxReportedPriority = 1000

// NoteResponse records how long a server worked on a request, and the load in its response; nil if there was none.
func (r *Reports) NoteResponse(server site.ServerID, took time.Duration, load *site.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(serverRoute{server: server}, statsOf(took, load))
}

// NoteRouteResponse records the same on a mixed site, with the route of the request and the time until the answer without
// the time to connect.
func (r *Reports) NoteRouteResponse(server site.ServerID, route string, answerTime, took time.Duration, load *site.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := statsOf(took, load)
	p.answerTime = answerTime
	if load != nil {
		left := max(load.Total()-1, 0) // the load includes the answered request
		busy := min(left, max(load.Slots, 0))
		p.busy, p.queued = uint32(busy), uint32(left-busy)
		p.left = countAt(left, *load)
	}
	r.add(serverRoute{server, route}, p)
}

// maxCountedSlots bounds the slots of servers whose numbers of requests are counted, and thus the size of reports.
const maxCountedSlots = 64

// countAt returns a count of one at a number of requests, nil if the load is impossible.
func countAt(requests int, load site.Load) []uint32 {
	if load.Slots <= 0 || load.Slots > maxCountedSlots || load.Running < 0 || load.Running > load.Slots || load.Waiting < 0 {
		return nil
	}
	counts := make([]uint32, load.Slots+1)
	counts[min(max(requests, 0), load.Slots)] = 1
	return counts
}

// addCounts adds counts to others. Those of another number of slots replace them.
func addCounts(sum, counts []uint32) []uint32 {
	if len(counts) == 0 || len(counts) > maxCountedSlots+1 {
		return sum
	}
	if len(sum) != len(counts) {
		return slices.Clone(counts)
	}
	for i, count := range counts {
		sum[i] += count
	}
	return sum
}

func statsOf(took time.Duration, load *site.Load) serverStats {
	p := serverStats{count: 1, total: took}
	if load != nil {
		p.answers, p.present = 1, uint32(max(load.Total(), 0))
	}
	return p
}

// add adds to a server's statistics. The caller holds the lock.
func (r *Reports) add(of serverRoute, p serverStats) {
	sum := r.stats[of]
	sum.count += p.count
	sum.total += p.total
	sum.answers += p.answers
	sum.present += p.present
	sum.answerTime += p.answerTime
	sum.busy += p.busy
	sum.queued += p.queued
	sum.left = addCounts(sum.left, p.left)
	r.stats[of] = sum
}

// Merge adds a report of another node, which a relay forwards.
func (r *Reports) Merge(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, counts := range report.KeyCounts {
		for i, key := range counts.Keys {
			if i < len(counts.Requests) {
				r.count(serviceKey{site.ServiceName(counts.Service), ranges.Key(key)}, counts.Requests[i])
			}
		}
	}
	for _, reported := range report.Paces {
		r.add(serverRoute{site.ServerID(reported.Server), reported.Route}, reportedStats(reported))
	}
	for _, c := range report.Classes {
		r.addClass(serviceClass{site.ServiceName(c.Service), int(c.Priority)}, classCount{requests: c.Requests, returned: c.Returned})
	}
	r.mergeCrashes(report)
}

// reportedStats returns the statistics in a report of another node. Without the number of its answers, which is reported
// with a route, a report counts as one answer.
func reportedStats(reported *bspb.ServerPace) serverStats {
	count := uint64(1)
	if reported.Route != "" {
		count = uint64(max(reported.Count, 1))
	}
	return serverStats{
		count:      count,
		total:      time.Duration(count*reported.MeanUs) * time.Microsecond,
		answers:    reported.Answers,
		present:    reported.Present,
		answerTime: time.Duration(reported.TotalUs) * time.Microsecond,
		busy:       reported.Busy,
		queued:     reported.Queued,
		left:       reported.Left,
	}
}

// message returns the statistics as they are reported.
func (p serverStats) message(of serverRoute) *bspb.ServerPace {
	mean := p.total / time.Duration(p.count)
	message := &bspb.ServerPace{Server: string(of.server), MeanUs: uint64(mean.Microseconds()), Answers: p.answers, Present: p.present}
	if of.route != "" {
		message.Route, message.Count = of.route, uint32(p.count)
		message.TotalUs = uint64(p.answerTime.Microseconds())
		message.Busy, message.Queued = p.busy, p.queued
		message.Left = p.left
	}
	return message
}

// Report contains the observations of one node.
type Report struct {
	KeyCounts []*bspb.KeyCounts
	Classes   []*bspb.ClassCount
	Paces     []*bspb.ServerPace
	Crashes   []*bspb.CrashReport
	Answered  *bspb.Fingerprints // suspected requests that a server has answered; nil: none
}

// reportOf returns the observations in a request of another node.
func reportOf(msg *bspb.FollowRequest) Report {
	return Report{KeyCounts: msg.KeyCounts, Classes: msg.ClassCounts, Paces: msg.Paces, Crashes: msg.Crashes, Answered: msg.Answered}
}

func (r Report) isEmpty() bool {
	return len(r.KeyCounts)+len(r.Classes)+len(r.Paces)+len(r.Crashes)+len(r.Answered.GetHigh()) == 0
}

// Drain returns the observations since the last call.
func (r *Reports) Drain() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var report Report
	byService := map[site.ServiceName]*bspb.KeyCounts{}
	for k, n := range r.keys {
		counts := byService[k.service]
		if counts == nil {
			counts = &bspb.KeyCounts{Service: string(k.service)}
			byService[k.service] = counts
			report.KeyCounts = append(report.KeyCounts, counts)
		}
		counts.Keys = append(counts.Keys, uint32(k.key))
		counts.Requests = append(counts.Requests, n)
	}
	for of, p := range r.stats {
		report.Paces = append(report.Paces, p.message(of))
	}
	for class, count := range r.classes {
		report.Classes = append(report.Classes, &bspb.ClassCount{Service: string(class.service), Priority: uint32(class.priority), Requests: count.requests, Returned: count.returned})
	}
	r.drainCrashes(&report, time.Now(), true)
	clear(r.keys)
	clear(r.stats)
	clear(r.classes)
	return report
}
