package follow

import (
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
	stats map[site.ServerID]serverStats
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

type serverStats struct {
	count   uint64
	total   time.Duration
	answers uint32 // responses that contained the server's load
	present uint32 // sum of the server's requests over these responses
}

// maxKeyReports limits the number of keys in a report.
const maxKeyReports = 1000

// NewReports returns an empty collection.
func NewReports() *Reports {
	return &Reports{
		keys:     map[serviceKey]uint32{},
		stats:    map[site.ServerID]serverStats{},
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

// NoteResponse records how long a server of a keyed service worked on a request, and the load in
// its response; nil if there was none.
func (r *Reports) NoteResponse(server site.ServerID, took time.Duration, load *site.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := serverStats{count: 1, total: took}
	if load != nil {
		p.answers, p.present = 1, uint32(load.Total())
	}
	r.add(server, p)
}

// add adds to a server's statistics. The caller holds the lock.
func (r *Reports) add(server site.ServerID, p serverStats) {
	sum := r.stats[server]
	sum.count += p.count
	sum.total += p.total
	sum.answers += p.answers
	sum.present += p.present
	r.stats[server] = sum
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
		mean := time.Duration(reported.MeanUs) * time.Microsecond
		r.add(site.ServerID(reported.Server), serverStats{count: 1, total: mean, answers: reported.Answers, present: reported.Present})
	}
	r.mergeCrashes(report)
}

// Report contains the observations of one node.
type Report struct {
	KeyCounts []*bspb.KeyCounts
	Paces     []*bspb.ServerPace
	Crashes   []*bspb.CrashReport
	Answered  *bspb.Fingerprints // suspected requests that a server has answered; nil: none
}

// reportOf returns the observations in a request of another node.
func reportOf(msg *bspb.FollowRequest) Report {
	return Report{KeyCounts: msg.KeyCounts, Paces: msg.Paces, Crashes: msg.Crashes, Answered: msg.Answered}
}

func (r Report) isEmpty() bool {
	return len(r.KeyCounts)+len(r.Paces)+len(r.Crashes)+len(r.Answered.GetHigh()) == 0
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
	for id, p := range r.stats {
		mean := p.total / time.Duration(p.count)
		report.Paces = append(report.Paces, &bspb.ServerPace{Server: string(id), MeanUs: uint64(mean.Microseconds()), Answers: p.answers, Present: p.present})
	}
	r.drainCrashes(&report, time.Now(), true)
	clear(r.keys)
	clear(r.stats)
	return report
}
