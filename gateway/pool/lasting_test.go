package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// restartedServer is a server with a limit or a cold rate of one request a second, and another one.
type restartedServer struct {
	pool      *pool.Pool
	now       time.Time
	id        site.ServerID
	warmUp    time.Duration
	isMissing bool
}

func newRestartedServer(limits pool.RateLimits, warmUp time.Duration) *restartedServer {
	s := &restartedServer{pool: pool.New("a", 0, rand.New(rand.NewPCG(1, 1))), now: start, id: site.IncarnationID("i", start), warmUp: warmUp}
	limits.IsCounter = func(site.Server, int) bool { return true }
	s.pool.SetRateLimits(limits)
	s.update()
	return s
}

func (s *restartedServer) update() {
	servers := []site.Server{{ID: "other", Service: "s", Zone: "a", Slots: 4}}
	if !s.isMissing {
		servers = append(servers, site.Server{ID: s.id, Service: "s", Zone: "a", Slots: 4, WarmUp: s.warmUp})
	}
	s.pool.Update(servers, 1, s.now)
}

// restart replaces the incarnation of the server, after its entry has been missing for a time.
func (s *restartedServer) restart(missing time.Duration) {
	if missing > 0 {
		s.isMissing = true
		s.update()
		s.now = s.now.Add(missing)
		s.isMissing = false
	}
	s.now = s.now.Add(time.Millisecond) // starts differ by a millisecond at least
	s.id = site.IncarnationID("i", s.now)
	s.update()
}

// takes returns how many of some requests the server takes now.
func (s *restartedServer) takes(count int) int {
	taken := 0
	for range count {
		w := &pool.Waiter{ArrivedAt: s.now, Target: s.now.Add(time.Second), Deadline: s.now.Add(2 * time.Second), OnlyServer: s.id}
		admission, _ := s.pool.Submit(w, s.now)
		if admission == nil {
			s.pool.Remove(w)
			continue
		}
		taken++
		s.pool.Done(s.id, pool.Outcome{Took: time.Millisecond}, s.now)
	}
	return taken
}

// Guards against nodes that take a restarted server for one that has got nothing from them lately.
func TestRequestsOfTheFormerIncarnationCountAgainstTheLimit(t *testing.T) {
	named := pool.RateLimits{Named: func(id site.ServerID) (site.NamedLimit, bool) {
		return site.NamedLimit{Rate: 1, IsNamed: true, At: start}, id != "other"
	}}
	for name, row := range map[string]struct {
		limits  pool.RateLimits
		warmUp  time.Duration
		missing time.Duration
	}{
		"a named limit":                           {limits: named},
		"a named limit, after a time without it":  {limits: named, missing: time.Millisecond},
		"a cold server":                           {limits: pool.RateLimits{ColdRate: 1}, warmUp: time.Minute},
		"a cold server, after a time without one": {limits: pool.RateLimits{ColdRate: 1}, warmUp: time.Minute, missing: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newRestartedServer(row.limits, row.warmUp)
			s.now = s.now.Add(10 * time.Second)
			g.Expect(s.takes(9)).To(gomega.Equal(2), "saved")
			for range 4 {
				s.restart(row.missing)
				g.Expect(s.takes(9)).To(gomega.BeZero())
			}
			s.now = s.now.Add(time.Second)
			g.Expect(s.takes(9)).To(gomega.Equal(1), "one a second")
		})
	}
}

// Guards against nodes that send to a server within the rest that it has asked for, because it has restarted, its
// entry has been missing, or the answer to a request for the former incarnation arrives late.
func TestRestOfAServerHoldsThroughRestartsAndMissingEntries(t *testing.T) {
	const rest = 20 * time.Second
	for name, row := range map[string]struct{ missing time.Duration }{
		"it restarts":               {},
		"its entry is missing":      {missing: time.Second},
		"its entry is missing long": {missing: 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for _, isLate := range []bool{false, true} {
				g := gomega.NewWithT(t)
				s := newRestartedServer(pool.RateLimits{}, 0)
				askedAt, asked := s.now, s.id
				if !isLate {
					s.pool.Rest(asked, rest, s.now)
				}
				s.restart(row.missing)
				if isLate {
					askedAt = s.now
					s.pool.Done(asked, pool.Outcome{Failed: true, Rest: rest}, s.now)
				}
				g.Expect(s.takes(3)).To(gomega.BeZero())
				s.now = askedAt.Add(rest - time.Millisecond)
				g.Expect(s.takes(3)).To(gomega.BeZero())
				s.now = askedAt.Add(rest + time.Second)
				g.Expect(s.takes(1)).To(gomega.Equal(1))
			}
		})
	}
}

// A restarted server is judged by its own answers: what the node has observed of the incarnation before is forgotten.
func TestObservationsOfTheFormerIncarnationAreForgotten(t *testing.T) {
	for name, observe := range map[string]func(s *restartedServer){
		"could not be connected to": func(s *restartedServer) {
			s.pool.Done(s.id, pool.Outcome{Failed: true, NotReached: true}, s.now)
		},
		"was full": func(s *restartedServer) {
			for range 9 {
				s.pool.Done(s.id, pool.Outcome{NoCapacity: true, Load: &site.Load{Running: 4, Waiting: 4, Slots: 4}}, s.now)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newRestartedServer(pool.RateLimits{}, 0)
			observe(s)
			s.now = s.now.Add(time.Millisecond)
			g.Expect(s.takes(1)).To(gomega.BeZero())
			s.restart(0)
			s.now = s.now.Add(time.Second) // end of the trial after a restart
			g.Expect(s.takes(1)).To(gomega.Equal(1))
		})
	}
}
