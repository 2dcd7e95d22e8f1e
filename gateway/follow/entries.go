package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// applyServers applies a snapshot, or the records after the last read, to the registry.
func (r *Reader) applyServers(batch store.Batch, isSnapshot bool) {
	now := clock.Now()
	if isSnapshot {
		r.applyKeys(batch, now)
	} else {
		r.registry.NoteRead(len(batch.Records), batch.Next, now)
	}
	for _, record := range batch.Records {
		end := record.Offset + 1
		if isSnapshot {
			end = batch.End
		}
		r.applyServer(record, end, now)
	}
	r.publishServers(now)
}

// applyKeys removes servers that have no entry in a snapshot.
func (r *Reader) applyKeys(batch store.Batch, now time.Time) {
	names := make(map[site.ServerName]bool, len(batch.Records))
	for _, record := range batch.Records {
		names[site.ServerName(record.Key)] = true
	}
	r.registry.Retain(names, batch.End, now)
	r.invalid.retain(names)
}

// applyServer applies one record of the registry before the offset end.
func (r *Reader) applyServer(record store.Record, end store.Offset, now time.Time) {
	name := site.ServerName(record.Key)
	if len(record.Value) == 0 {
		r.registry.Remove(name, end, now)
		r.invalid.remove(name)
		return
	}
	entry, err := r.Codec.Entry(record.Key, record.Value)
	if err != nil {
		r.registry.Invalidate(name, end, now)
		r.invalid.note(r.Logger, record, err, now)
		return
	}
	applied, err := r.registry.Put(entry, end, now)
	switch {
	case err != nil:
		r.invalid.note(r.Logger, record, err, now)
		return
	case !applied:
		skippedEntries.Add(1)
		eventEarlierIncarnation.Log(r.Logger, "server", name, "start", entry.ID.Start(), "sequence", entry.Sequence, "offset", record.Offset)
	}
	r.invalid.remove(name)
}

// publishServers copies the registry into the view. It is also called while the node does
// not read, because servers without an entry are kept only for a limited time after an
// outage.
func (r *Reader) publishServers(now time.Time) {
	before := r.State.Now().Servers
	after := r.registry.Servers(before.Servers, now)
	isNewer := after.Offset > before.Offset && r.State.MergeServers(after)
	if r.State.AcceptDeferred() || isNewer {
		r.logServerChanges(before.Servers)
	}
}

// maxServerLines limits the servers that are logged one by one when a node adopts its first
// registry. Otherwise each of hundreds of nodes would start with a line for each server.
const maxServerLines = 50

// logServerChanges logs how the servers of the view differ from those before. Most changes
// affect a few of hundreds of servers, so unchanged ones are skipped.
func (r *Reader) logServerChanges(before map[site.ServerID]site.Server) {
	after := r.State.Now().Servers
	if len(before) == 0 && len(after.Servers) > maxServerLines {
		eventRegistry.Log(r.Logger, "servers", len(after.Servers), "offset", after.Offset)
		return
	}
	left := byName(without(before, after.Servers))
	joined := byName(without(after.Servers, before))
	for name, server := range joined {
		old, existed := left[name]
		if !existed {
			eventServerSeen.Log(r.Logger, "server", server.ID, "service", server.Service, "address", server.Address, "zone", server.Zone)
			continue
		}
		serversRestarted.Add(1)
		eventServerRestarted.Log(r.Logger, "server", name, "service", server.Service, "address", server.Address, "zone", server.Zone,
			"earlierStart", old.ID.Start(), "start", server.ID.Start(), "offset", after.Offset)
	}
	for name, server := range left {
		if _, restarted := joined[name]; !restarted {
			eventServerLeft.Log(r.Logger, "server", server.ID, "service", server.Service)
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
	rest := map[site.ServerID]site.Server{}
	for id, server := range servers {
		if _, exists := others[id]; !exists {
			rest[id] = server
		}
	}
	return rest
}

// byName maps the name of each server to its only incarnation.
func byName(servers map[site.ServerID]site.Server) map[site.ServerName]site.Server {
	named := make(map[site.ServerName]site.Server, len(servers))
	for id, server := range servers {
		named[id.Name()] = server
	}
	return named
}
