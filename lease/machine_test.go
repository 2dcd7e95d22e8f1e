package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// machine models one server, its lessor and a second lessor that takes over. They
// are connected by a network that delays, reorders, repeats and loses messages.
type machine struct {
	timing Timing
	now    time.Duration // true time, which is also the time on both lessors' clocks

	// rate is the speed of the server's clock in parts per million of true time.
	rate    int64
	started time.Duration // true time at which this incarnation of the server started
	holder  *Holder
	boots   int

	lessors []*lessorModel
	network []message
}

// lessorModel is a lessor that renews under one term, using the tested granter.
type lessorModel struct {
	granter *Granter
	term    topo.Term
	name    string
	// pinned is the only incarnation whose lease the lessor may renew; empty for
	// any.
	pinned  topo.BootID
	replied bool // a reply that did not refuse its term arrived
}

// message is a request to the server, or a reply to a lessor.
type message struct {
	from  int
	sent  time.Duration
	req   serverapi.LeaseRequest
	reply *serverapi.LeaseReply
}

var machineShards = []string{"svc/0", "svc/1"}

func newMachine(t *rapid.T) *machine {
	m := &machine{timing: Timing{
		TTL:      time.Second,
		Margin:   time.Duration(rapid.IntRange(1, 50).Draw(t, "margin")) * time.Millisecond,
		DriftPPM: rapid.SampledFrom([]int{0, 200, 20_000}).Draw(t, "drift"),
	}}
	drift := int64(m.timing.DriftPPM)
	slowest := (partsPerMillion*partsPerMillion + drift) / (partsPerMillion + drift)
	m.rate = rapid.Int64Range(slowest, partsPerMillion+drift).Draw(t, "rate")
	m.restart()
	m.takeOver()
	return m
}

func (m *machine) restart() {
	m.boots++
	m.started = m.now
	m.holder = NewHolder(topo.BootID(fmt.Sprint("boot-", m.boots)))
}

func (m *machine) takeOver() {
	n := len(m.lessors)
	if n > 0 {
		earlier := m.lessors[n-1]
		earlier.pinned = earlier.granter.Boot()
	}
	m.lessors = append(m.lessors, &lessorModel{
		granter: NewGranter(m.timing),
		term:    topo.MakeTerm(topo.Offset(10+n), 0),
		name:    fmt.Sprint("node-", n),
	})
}

func (m *machine) serverClock() time.Duration {
	return time.Duration(int64(m.now-m.started) * m.rate / partsPerMillion)
}

func (m *machine) wall() time.Time { return time.Unix(0, 0).Add(m.now) }

// renew sends a renewal, or a request for a stamp when there is none to echo.
func (m *machine) renew(index int, generation uint64) {
	lessor := m.lessors[index]
	req := serverapi.LeaseRequest{Term: lessor.term.String(), Lessor: lessor.name}
	allowed := lessor.pinned == "" || lessor.pinned == lessor.granter.Boot()
	if allowed {
		if boot, echo, ok := lessor.granter.Renewal(m.wall()); ok {
			req.Boot, req.Echo = boot, echo
			req.TTLMs = m.timing.TTL.Milliseconds()
			req.Generation, req.Full = generation, true
			req.Grants = []serverapi.Grant{{Shard: machineShards[0], Fence: "5.0"}}
		}
	}
	m.network = append(m.network, message{from: index, sent: m.now, req: req})
}

// deliver delivers one message. If repeat is true, the message stays in flight and
// can be delivered again.
func (m *machine) deliver(index int, repeat bool) {
	msg := m.network[index]
	if !repeat {
		m.network = append(m.network[:index], m.network[index+1:]...)
	}
	if msg.reply == nil {
		reply := m.holder.Lease(m.serverClock(), msg.req)
		m.network = append(m.network, message{from: msg.from, sent: msg.sent, reply: &reply})
		return
	}
	lessor := m.lessors[msg.from]
	lessor.granter.Replied(*msg.reply, m.at(msg.sent), m.wall())
	if msg.reply.Refused != serverapi.RefusedStaleTerm {
		lessor.replied = true
	}
}

func (m *machine) at(moment time.Duration) time.Time { return time.Unix(0, 0).Add(moment) }

// check verifies that a lessor of the highest term does not treat the server's
// lease as expired while the server treats it as valid. It applies to a lessor that
// has received a reply of this incarnation of the server, or that is the only one
// so far.
func (m *machine) check(t *rapid.T) {
	newest := m.lessors[len(m.lessors)-1]
	knowsIncarnation := newest.replied && newest.granter.Boot() == m.holder.Boot()
	if !knowsIncarnation && len(m.lessors) > 1 {
		return
	}
	if newest.granter.Expired(m.wall()) && m.holder.Valid(m.serverClock()) {
		t.Fatalf("expired for the lessor since %v, valid on the server until %v (now %v)",
			newest.granter.Until(), m.holder.Expires(), m.serverClock())
	}
}

func TestServerLeaseIsNeverValidAfterTheGranterTreatsItAsExpired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"time passes": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 400_000).Draw(t, "us")) * time.Microsecond
			},
			"time passes to the counted end": func(t *rapid.T) {
				end := m.lessors[len(m.lessors)-1].granter.Until().Sub(m.at(0))
				m.now = max(m.now, end)
			},
			"renew": func(t *rapid.T) {
				m.renew(rapid.IntRange(0, len(m.lessors)-1).Draw(t, "lessor"),
					rapid.Uint64Range(1, 3).Draw(t, "generation"))
			},
			"deliver": func(t *rapid.T) {
				if len(m.network) == 0 {
					t.Skip("nothing in flight")
				}
				m.deliver(rapid.IntRange(0, len(m.network)-1).Draw(t, "message"), rapid.Bool().Draw(t, "repeat"))
			},
			"lose": func(t *rapid.T) {
				if len(m.network) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
				m.network = append(m.network[:i], m.network[i+1:]...)
			},
			"server restarts": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "often") > 0 {
					t.Skip("restarts are rare")
				}
				m.restart()
			},
			"take over": func(t *rapid.T) {
				if len(m.lessors) == 2 {
					t.Skip("one takeover is enough")
				}
				m.takeOver()
			},
		})
	})
}
