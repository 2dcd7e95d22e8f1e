package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// takeServers folds a snapshot or the records after the last read into the
// register.
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

// takeKeys takes which servers have an entry at all.
func (r *Reader) takeKeys(batch store.Batch, now time.Time) {
	names := make(map[site.ServerName]bool, len(batch.Records))
	for _, record := range batch.Records {
		names[site.ServerName(record.Key)] = true
	}
	r.register.KeepOnly(names, batch.End, now)
	r.broken.keepOnly(names)
}

// takeServer takes one record of the register before the offset end.
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

// showServers puts the register into the view. It is called also while the node
// does not read, since servers keep their place after an outage only for a while.
func (r *Reader) showServers(now time.Time) {
	before := r.State.Now().Servers
	after := r.register.Servers(before.Servers, now)
	isNewer := after.Offset > before.Offset && r.State.MergeServers(after)
	if r.State.SettleServers() || isNewer {
		r.logServers(before.Servers)
	}
}

// logServers tells how the servers of the view differ from those before.
func (r *Reader) logServers(before map[site.ServerID]site.Server) {
	after := r.State.Now().Servers
	runsBefore := byName(before)
	for id, server := range after.Servers {
		old, existed := runsBefore[id.Name()]
		switch {
		case !existed:
			eventServerSeen.Log(r.Logger, "server", id, "service", server.Service, "address", server.Address, "zone", server.Zone)
		case old.ID != id:
			runsReplaced.Add(1)
			eventRunReplaced.Log(r.Logger, "server", id.Name(), "service", server.Service, "address", server.Address, "zone", server.Zone,
				"earlierStart", old.ID.Start(), "start", id.Start(), "offset", after.Offset)
		case server.Draining && !old.Draining:
			eventServerLeaving.Log(r.Logger, "server", id, "service", server.Service)
		}
	}
	runsAfter := byName(after.Servers)
	for id, server := range before {
		if _, exists := runsAfter[id.Name()]; !exists {
			eventServerGone.Log(r.Logger, "server", id, "service", server.Service)
		}
	}
}

// byName returns the one run of each server.
func byName(servers map[site.ServerID]site.Server) map[site.ServerName]site.Server {
	named := make(map[site.ServerName]site.Server, len(servers))
	for id, server := range servers {
		named[id.Name()] = server
	}
	return named
}
