package urgency

import (
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// usableTimeout is the time without an answer after which a server that had requests is not usable.
	usableTimeout = 3 * time.Second
	// minExpectedAnswers is the number of answers that a server would have given meanwhile if it had requests: nodes choose
	// servers, so one without answers may have got none.
	minExpectedAnswers = 8
	// zoneTimeout is the same time for all servers of a zone together, and minZoneAnswers the number of answers. Reports
	// are up to a second old. A zone that is lost at the peak must lower the shares within a second or two.
	zoneTimeout    = 1200 * time.Millisecond
	minZoneAnswers = 20
)

// Usable determines which of the registered servers of a service are usable: those that do not leave and have answered
// lately, if they had requests. Silence is measured against the latest answer of the service, so that reports which are
// late as a whole take no server away. It sets the capacity, and returns the number of usable servers.
func (m *Meter) Usable(name site.ServiceName, servers []site.Server, now time.Time) int {
	s := m.service(name, now)
	rate, listed := 0.0, make(map[site.ServerID]bool, len(servers))
	for _, registered := range servers {
		listed[registered.ID] = true
		if s.servers[registered.ID] == nil {
			s.servers[registered.ID] = &server{first: now, latest: now}
		}
	}
	maps.DeleteFunc(s.servers, func(id site.ServerID, _ *server) bool { return !listed[id] })
	for _, registered := range servers {
		of := s.servers[registered.ID]
		rate += of.answers.rate(of.first, now)
	}
	perServer := rate / float64(max(len(servers), 1))
	lost := s.lostZones(servers, perServer)
	usable, slots := 0, 0
	for _, registered := range servers {
		if registered.IsLeaving() || lost[registered.Zone] || s.isSilent(registered.ID, perServer) {
			continue
		}
		usable++
		slots += registered.Slots
	}
	s.slots, s.capacity = float64(slots), float64(slots)
	return usable
}

// isSilent reports whether a server that would have answered by now has not.
func (s *measured) isSilent(id site.ServerID, perServer float64) bool {
	silence := s.silence(id)
	return silence >= usableTimeout && silence.Seconds()*perServer >= minExpectedAnswers
}

// silence returns the time between the latest answer of a server and that of the service.
func (s *measured) silence(id site.ServerID) time.Duration {
	return s.latest.Sub(s.servers[id].latest)
}

// lostZones returns the zones of which no server has answered for zoneTimeout, although they would have.
func (s *measured) lostZones(servers []site.Server, perServer float64) map[string]bool {
	silence, count := map[string]time.Duration{}, map[string]int{}
	for _, registered := range servers {
		of := s.silence(registered.ID)
		if known, exists := silence[registered.Zone]; !exists || of < known {
			silence[registered.Zone] = of
		}
		count[registered.Zone]++
	}
	lost := map[string]bool{}
	for zone, of := range silence {
		expected := of.Seconds() * perServer * float64(count[zone])
		lost[zone] = of >= zoneTimeout && expected >= minZoneAnswers
	}
	return lost
}
