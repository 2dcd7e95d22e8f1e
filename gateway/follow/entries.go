package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// applyServers applies a snapshot, or the records after the last read, to the registry.
func (r *Reader) takeServers(batch store.Batch, isSnapshot bool) {
	now := clock.Now()
	if isSnapshot {
		r.takeKeys(batch, now)
	} else {
		r.register.Read(len(batch.Records), batch.Next, now)
	}
	for _, record := range batch.Records {
		end := record.Offset + 1
		if isSnapshot {
			end = batch.End
		}
		r.takeServer(record, end, now)
	}
	r.showServers(now)
}

// applyKeys removes servers that have no entry in a snapshot.
func (r *Reader) takeKeys(batch store.Batch, now time.Time) {
	names := make(map[site.ServerName]bool, len(batch.Records))
	for _, record := range batch.Records {
		names[site.ServerName(record.Key)] = true
	}
	r.register.KeepOnly(names, batch.End, now)
	r.broken.keepOnly(names)
}

// applyServer applies one record of the registry before the offset end.
func (r *Reader) takeServer(record store.Record, end store.Offset, now time.Time) {
	name := site.ServerName(record.Key)
	if len(record.Value) == 0 {
		r.register.Drop(name, end, now)
		r.broken.forget(name)
		return
	}
	entry, err := r.Codec.Entry(record.Key, record.Value)
	if err != nil {
		r.register.Break(name, end, now)
		r.broken.note(r.Logger, record, err, now)
		return
	}
	taken, err := r.register.Put(entry, end, now)
	switch {
	case err != nil:
		r.broken.note(r.Logger, record, err, now)
		return
	case !taken:
		passedOver.Add(1)
		eventEarlierRun.Log(r.Logger, "server", name, "start", entry.ID.Start(), "sequence", entry.Sequence, "offset", record.Offset)
	}
	r.broken.forget(name)
}

// publishServers copies the registry into the view. It is also called while the node does
// not read, because servers without an entry are kept only for a limited time after an
// outage.
func (r *Reader) showServers(now time.Time) {
	before := r.State.Now().Servers
	after := r.register.Servers(before.Servers, now)
	isNewer := after.Offset > before.Offset && r.State.MergeServers(after)
	if r.State.SettleServers() || isNewer {
		r.logServers(before.Servers)
	}
}

// maxServerLines limits the servers that are logged one by one when a node adopts its first
// registry. Otherwise each of hundreds of nodes would start with a line for each server.
const mostNamed = 50

// logServerChanges logs how the servers of the view differ from those before. Most changes
// affect a few of hundreds of servers, so unchanged ones are skipped.
func (r *Reader) logServers(before map[site.ServerID]site.Server) {
	after := r.State.Now().Servers
	if len(before) == 0 && len(after.Servers) > mostNamed {
		eventRegister.Log(r.Logger, "servers", len(after.Servers), "offset", after.Offset)
		return
	}
	ended := byName(without(before, after.Servers))
	begun := byName(without(after.Servers, before))
	for name, server := range begun {
		old, existed := ended[name]
		if !existed {
			eventServerSeen.Log(r.Logger, "server", server.ID, "service", server.Service, "address", server.Address, "zone", server.Zone)
			continue
		}
		runsReplaced.Add(1)
		eventRunReplaced.Log(r.Logger, "server", name, "service", server.Service, "address", server.Address, "zone", server.Zone,
			"earlierStart", old.ID.Start(), "start", server.ID.Start(), "offset", after.Offset)
	}
	for name, server := range ended {
		if _, startedAgain := begun[name]; !startedAgain {
			eventServerGone.Log(r.Logger, "server", server.ID, "service", server.Service)
		}
	}
	for id, server := range after.Servers {
		if old, exists := before[id]; exists && server.Draining && !old.Draining {
			eventServerLeaving.Log(r.Logger, "server", id, "service", server.Service)
		}
	}
}

// without returns the servers that are not in others.
func without(servers, others map[site.ServerID]site.Server) map[site.ServerID]site.Server {
	left := map[site.ServerID]site.Server{}
	for id, server := range servers {
		if _, exists := others[id]; !exists {
			left[id] = server
		}
	}
	return left
}

// byName maps the name of each server to its only incarnation.
func byName(servers map[site.ServerID]site.Server) map[site.ServerName]site.Server {
	named := make(map[site.ServerName]site.Server, len(servers))
	for id, server := range servers {
		named[id.Name()] = server
	}
	return named
}
