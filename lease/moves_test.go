package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// movesModel models one lessor and two servers between which it moves a hash range
// and a key that is split out of the range. The lessor follows the protocol of
// package lease. Messages are delayed, repeated, reordered and lost, runs begin and
// end at any time, and the clocks of the servers differ.
type movesModel struct {
	timing  Timing
	now     time.Duration
	servers [2]*movingServer
	owners  map[topo.ShardID]*ownership
	offset  topo.Offset
	network []movingMessage
}

type movingServer struct {
	holder   *Holder
	granter  *Granter
	rate     int64 // parts per million of true time
	gen      uint64
	list     []serverapi.Grant
	runs     []movingRun
	reported uint64
	busy     map[string]bool
}

type movingRun struct {
	id  RunID
	key string
}

// ownership is the owner of a shard. While the shard moves, revokedIn is the first
// generation of the owner's grant list that does not contain it.
type ownership struct {
	server    int
	fence     topo.Fence
	moving    bool
	revokedIn uint64
}

type movingMessage struct {
	server int
	sent   time.Duration
	req    serverapi.LeaseRequest
	reply  *serverapi.LeaseReply
}

const coldKey = "cold"

func newMovesModel(t *rapid.T) *movesModel {
	m := &movesModel{
		timing: Timing{TTL: time.Second, Margin: time.Millisecond, DriftPPM: 20_000},
		owners: map[topo.ShardID]*ownership{},
		offset: 10,
	}
	for i := range m.servers {
		m.servers[i] = &movingServer{
			holder:  NewHolder(topo.BootID(fmt.Sprint("boot", i))),
			granter: NewGranter(m.timing),
			rate:    rapid.SampledFrom([]int64{980_393, partsPerMillion, 1_019_000}).Draw(t, "rate"),
			busy:    map[string]bool{},
		}
	}
	m.assign(shard0, 0)
	return m
}

func (m *movesModel) assign(shard topo.ShardID, server int) {
	m.offset++
	m.owners[shard] = &ownership{server: server, fence: topo.MakeFence(m.offset, 0)}
}

func (m *movesModel) clock(server int) time.Duration {
	return time.Duration(int64(m.now) * m.servers[server].rate / partsPerMillion)
}

func (m *movesModel) wall(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// listOf returns the grants of a server as of now.
func (m *movesModel) listOf(server int) []serverapi.Grant {
	var list []serverapi.Grant
	for _, shard := range []topo.ShardID{shard0, hotKey} {
		owned, exists := m.owners[shard]
		if !exists || owned.server != server || owned.moving {
			continue
		}
		if shard == shard0 && m.owners[hotKey] != nil {
			list = append(list, grantOf(shard, owned.fence, hotKey.Key))
			continue
		}
		list = append(list, grantOf(shard, owned.fence))
	}
	return list
}

// renew sends a renewal, with a new generation if the grant list has changed.
func (m *movesModel) renew(server int) {
	s := m.servers[server]
	req := serverapi.LeaseRequest{Term: "9.0", Lessor: "n@b"}
	if boot, echo, ok := s.granter.Renewal(m.wall(m.now)); ok {
		list := m.listOf(server)
		if s.gen == 0 || !sameGrants(list, s.list) {
			s.gen++
			s.list = list
		}
		req.Boot, req.Echo, req.TTLMs = boot, echo, m.timing.TTL.Milliseconds()
		req.Generation, req.Full, req.Grants = s.gen, true, s.list
	}
	m.network = append(m.network, movingMessage{server: server, sent: m.now, req: req})
}

func sameGrants(a, b []serverapi.Grant) bool {
	return slices.EqualFunc(a, b, func(x, y serverapi.Grant) bool {
		return x.Shard == y.Shard && x.Fence == y.Fence && slices.Equal(x.Except, y.Except)
	})
}

func (m *movesModel) deliver(index int, repeat bool) {
	msg := m.network[index]
	if !repeat {
		m.network = slices.Delete(m.network, index, index+1)
	}
	s := m.servers[msg.server]
	if msg.reply == nil {
		reply := s.holder.Lease(m.clock(msg.server), msg.req)
		m.network = append(m.network, movingMessage{server: msg.server, sent: msg.sent, reply: &reply})
		return
	}
	s.granter.Replied(*msg.reply, m.wall(msg.sent), m.wall(m.now))
	if msg.reply.Generation >= s.reported {
		s.reported = msg.reply.Generation
		s.busy = map[string]bool{}
		for _, shard := range msg.reply.Busy {
			s.busy[shard] = true
		}
	}
}

// exchange delivers a renewal and its reply without delay.
func (m *movesModel) exchange(server int) {
	m.renew(server)
	m.deliver(len(m.network)-1, false)
	m.deliver(len(m.network)-1, false)
}

// startMove revokes a shard. A key that is not split out yet is excepted from its
// range.
func (m *movesModel) startMove(shard topo.ShardID) {
	owned, exists := m.owners[shard]
	if !exists {
		covering := m.owners[shard0]
		if covering.moving {
			return
		}
		owned = &ownership{server: covering.server, fence: covering.fence}
		m.owners[shard] = owned
	}
	if owned.moving {
		return
	}
	owned.moving = true
	owned.revokedIn = m.servers[owned.server].gen + 1
}

// finishMove assigns a shard to a server once the previous owner has released it
// or its lease has expired.
func (m *movesModel) finishMove(shard topo.ShardID, to int) {
	owned, exists := m.owners[shard]
	if !exists || !owned.moving {
		return
	}
	s := m.servers[owned.server]
	released := s.reported >= owned.revokedIn && !s.busy[shard.String()]
	if released || s.granter.Expired(m.wall(m.now)) {
		m.assign(shard, to)
	}
}

// begin starts a run at a server under the latest grant that covers the key.
func (m *movesModel) begin(server int, key string) {
	s := m.servers[server]
	for _, held := range s.holder.Grants() {
		if run, err := s.holder.Begin(m.clock(server), held.Shard, held.Fence, key); err == nil {
			s.runs = append(s.runs, movingRun{id: run, key: key})
			return
		}
	}
}

// serves reports whether a server would run a request for a key now, or accept the
// result of a run of the key that is in flight.
func (m *movesModel) serves(server int, key string) bool {
	s := m.servers[server]
	now := m.clock(server)
	for _, run := range s.runs {
		if run.key == key && s.holder.Recheck(now, run.id) == nil {
			return true
		}
	}
	for _, held := range s.holder.Grants() {
		if run, err := s.holder.Begin(now, held.Shard, held.Fence, key); err == nil {
			s.holder.End(run)
			return true
		}
	}
	return false
}

func (m *movesModel) check(t *rapid.T) {
	for _, key := range []string{coldKey, hotKey.Key} {
		if m.serves(0, key) && m.serves(1, key) {
			t.Fatalf("both servers serve %q", key)
		}
	}
}

func TestMovedShardsAreNeverServedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMovesModel(t)
		server := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "server") }
		shard := func(t *rapid.T) topo.ShardID {
			return rapid.SampledFrom([]topo.ShardID{shard0, hotKey}).Draw(t, "shard")
		}
		message := func(t *rapid.T) int {
			if len(m.network) == 0 {
				t.Skip("nothing in flight")
			}
			return rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"time passes": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			},
			"leases expire": func(*rapid.T) { m.now += m.timing.ExpiryWait() },
			"exchange":      func(t *rapid.T) { m.exchange(server(t)) },
			"settle": func(*rapid.T) {
				for range 2 { // the first exchange may only return a stamp
					m.exchange(0)
					m.exchange(1)
				}
			},
			"renew":   func(t *rapid.T) { m.renew(server(t)) },
			"deliver": func(t *rapid.T) { m.deliver(message(t), rapid.Bool().Draw(t, "repeat")) },
			"lose": func(t *rapid.T) {
				i := message(t)
				m.network = slices.Delete(m.network, i, i+1)
			},
			"begin": func(t *rapid.T) {
				m.begin(server(t), rapid.SampledFrom([]string{coldKey, hotKey.Key}).Draw(t, "key"))
			},
			"end": func(t *rapid.T) {
				s := m.servers[server(t)]
				if len(s.runs) == 0 {
					t.Skip("no run in flight")
				}
				s.holder.End(s.runs[0].id)
				s.runs = s.runs[1:]
			},
			"start move":  func(t *rapid.T) { m.startMove(shard(t)) },
			"finish move": func(t *rapid.T) { m.finishMove(shard(t), server(t)) },
		})
	})
}
