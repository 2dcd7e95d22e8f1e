package follower

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Dump is the follower's part of the state dump.
type Dump struct {
	Writer          string        `json:"writer"`
	Applied         topo.Offset   `json:"applied"`
	Lineage         topo.Offset   `json:"lineage"`        // offset of the last rebase; 0 when there was none
	LogFirst        topo.Offset   `json:"log_first"`      // lowest offset known to be retained by the log
	ContactAgeMs    int64         `json:"contact_age_ms"` // -1 when there was no contact
	Source          string        `json:"source"`         // "log", or the ID of the relay in use
	Relays          []string      `json:"relays"`         // of the zone, according to this node's view
	SiteVersion     uint64        `json:"site_version"`
	Nodes           int           `json:"nodes"`
	Servers         int           `json:"servers"`
	Groups          int           `json:"groups"`
	Queued          int           `json:"queued"`  // submissions that wait for the appender
	Pending         int           `json:"pending"` // records of this node whose outcome is awaited
	RecentEntries   int           `json:"recent_entries"`
	RecentBytes     int           `json:"recent_bytes"`
	LastCheckpoint  topo.Offset   `json:"last_checkpoint"`
	SinceCheckpoint int           `json:"since_checkpoint"`
	Services        []ServiceDump `json:"services"`
}

// ServiceDump counts the shards of one service.
type ServiceDump struct {
	Service  topo.Service `json:"service"`
	Shards   int          `json:"shards"` // hash ranges and split keys
	Owned    int          `json:"owned"`
	Retiring bool         `json:"retiring"`
}

// Dump describes the follower; ages are measured at now.
func (f *Follower) Dump(now time.Time) Dump {
	view := f.View()
	dump := Dump{
		Writer:       f.writer,
		Applied:      view.Applied(),
		Lineage:      view.Lineage(),
		ContactAgeMs: f.contactAge(now),
		SiteVersion:  view.SiteVersion(),
		Nodes:        len(view.Nodes()),
		Servers:      len(view.Servers()),
		Groups:       len(view.Groups()),
		Queued:       len(f.queue),
		Pending:      f.outcomes.length(),
	}
	dump.Source = sourceName(*f.source.Load())
	if f.config.Relays > 0 {
		for _, relay := range relaysOf(view, f.config.Zone, f.config.Relays) {
			dump.Relays = append(dump.Relays, string(relay))
		}
	}
	dump.RecentEntries, dump.RecentBytes = f.ring.size()
	f.schedule.dump(&dump)
	for _, name := range view.Tables() {
		dump.Services = append(dump.Services, ownedDump(view, name))
	}
	return dump
}

// contactAge returns the milliseconds since the last contact, or -1 if there
// was none.
func (f *Follower) contactAge(now time.Time) int64 {
	contact := f.LastContact()
	if contact.IsZero() {
		return -1
	}
	return now.Sub(contact).Milliseconds()
}

func ownedDump(view *state.View, name topo.Service) ServiceDump {
	_, _, retiring := view.ActiveService(name)
	dump := ServiceDump{Service: name, Retiring: retiring}
	view.EachShard(name, func(a state.Assignment) bool {
		dump.Shards++
		if a.Owner != "" {
			dump.Owned++
		}
		return true
	})
	return dump
}

func (o *outcomes) length() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

func (r *ring) size() (entries, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries), r.bytes
}

func (s *checkpointSchedule) dump(dump *Dump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump.LogFirst = s.first
	dump.LastCheckpoint = s.last.Applied
	dump.SinceCheckpoint = s.records
}
