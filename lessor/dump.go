package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Dump describes a member in the state dump.
type Dump struct {
	Group     topo.GroupID `json:"group"`
	Role      string       `json:"role"`
	Term      string       `json:"term"`
	OffLog    bool         `json:"offLog"`
	Mode      string       `json:"mode"`
	ModeAsked string       `json:"modeAsked"`
	ModeAcked bool         `json:"modeAcked"`
	ModeRound uint64       `json:"modeRound"`
	Basis     string       `json:"basis"`
	Settled   bool         `json:"settled"`
	// SettledTerm is the latest term in which this incarnation was a settled
	// lessor.
	SettledTerm string `json:"settledTerm"`
	TermAge     string `json:"termAge"` // since the current term was first seen
	// Former, FormerSince and KnownSettled are set by a lessor that is not
	// settled.
	Former          []FormerDump  `json:"former,omitempty"`
	FormerSince     topo.Offset   `json:"formerSince,omitempty"`  // the list of incarnations is complete from this term on
	KnownSettled    topo.Offset   `json:"knownSettled,omitempty"` // latest term known to be settled
	ContactAge      string        `json:"contactAge"`
	PromiseAge      string        `json:"promiseAge"`
	Claiming        bool          `json:"claiming"`
	Undecided       []string      `json:"undecided,omitempty"`
	Activated       []string      `json:"activated,omitempty"`
	Moves           int           `json:"moves"`
	Servers         []ServerDump  `json:"servers,omitempty"`
	Standing        StandbyDump   `json:"standing,omitempty"`
	Watched         []topo.NodeID `json:"watched,omitempty"`
	Unsettled       []string      `json:"unsettled,omitempty"`
	Needs           []string      `json:"needs,omitempty"`
	Applied         topo.Offset   `json:"applied"`
	Standby         topo.NodeID   `json:"standby"`
	Place           int           `json:"place"`
	SchedulingDelay string        `json:"ownDelay"` // by how much this process was late lately
}

// FormerDump describes an incarnation that may have renewed leases in earlier
// terms, as far as a lessor that has not settled knows.
type FormerDump struct {
	Run     string `json:"run"`     // node and boot ID
	Led     string `json:"led"`     // latest term as the lessor
	StoodBy string `json:"stoodBy"` // latest term as the standby lessor
	// AnswerAge is the age of its reply that it has stopped; "never" without a
	// reply.
	AnswerAge   string `json:"answerAge"`
	SettledTerm string `json:"settledTerm"` // by its reply
	// DisconnectedTerm is the latest term in which it, as the lessor, asked for
	// disconnected mode, and Asked are the standby lessors that it asked, by its reply.
	DisconnectedTerm string   `json:"disconnectedTerm"`
	Asked            []string `json:"asked,omitempty"`
}

// ServerDump describes one server of a lessor's group.
type ServerDump struct {
	ID         topo.ServerID `json:"id"`
	Boot       topo.BootID   `json:"boot"`
	Generation uint64        `json:"generation"`
	Reported   uint64        `json:"reported"`
	Shards     int           `json:"shards"`
	Failures   int           `json:"failures"`
	Acked      bool          `json:"acked"`
	LeaseLeft  string        `json:"leaseLeft"`
	Draining   bool          `json:"draining"`
	Refused    string        `json:"refused,omitempty"` // reason why the latest reply was a refusal
	// HighestTerm is the highest term that the server has reported.
	HighestTerm string `json:"highestTerm"`
}

// StandbyDump describes the state of a standby lessor.
type StandbyDump struct {
	Mode        string `json:"mode"`
	ModeRound   uint64 `json:"modeRound"`
	Settled     bool   `json:"settled"`
	HeardAge    string `json:"heardAge"`
	PromiseLeft string `json:"promiseLeft"`
	Activated   int    `json:"activated"`
}

// Dump returns the member's state as of now.
func (m *Member) Dump(now time.Duration) Dump {
	d := Dump{
		Group:           m.cfg.Group,
		Role:            m.role.String(),
		Term:            m.term.String(),
		OffLog:          m.offLog,
		Mode:            m.right.mode.String(),
		ModeAsked:       m.right.asked.String(),
		ModeAcked:       m.right.acked,
		ModeRound:       m.right.round,
		Basis:           m.takeover.basis.String(),
		Settled:         m.termSettled(),
		SettledTerm:     m.settledTerm.String(),
		TermAge:         m.termSeen.age(now),
		ContactAge:      m.contact.age(now),
		PromiseAge:      m.right.promise.age(now),
		Claiming:        m.claim.pending(),
		Undecided:       texts(m.undecided()),
		Activated:       texts(slices.SortedFunc(maps.Keys(m.activated), compareShards)),
		Moves:           len(m.moves),
		Watched:         slices.Sorted(maps.Keys(m.watch.nodes)),
		Needs:           texts(slices.SortedFunc(maps.Keys(m.needs), compareShards)),
		Applied:         m.facts.Applied,
		Standby:         m.facts.Group.Standby,
		Place:           m.turnIndex,
		SchedulingDelay: m.schedulingDelay.recent(now).String(),
	}
	if m.role == RoleLessor {
		d.Unsettled = texts(m.unsettled())
		d.Former = m.dumpFormer(now)
		d.FormerSince, d.KnownSettled = m.takeover.former.since, m.takeover.former.settled
		d.Servers = m.dumpServers(now)
	}
	if m.role == RoleStandby {
		d.Standing = m.standbyState.dump(now)
	}
	return d
}

func (m *Member) unsettled() []topo.ShardID {
	var list []topo.ShardID
	for _, id := range m.shardOrder() {
		if !m.isSettled(m.facts.Shards[id]) {
			list = append(list, id)
		}
	}
	return list
}

// dumpFormer lists the incarnations of earlier terms while any shard waits for
// them.
func (m *Member) dumpFormer(now time.Duration) []FormerDump {
	var list []FormerDump
	if !m.settling {
		return list
	}
	f := &m.takeover.former
	for _, r := range f.incarnations {
		d := FormerDump{
			Run:       string(r.Node) + "/" + string(r.Boot),
			Led:       r.LessorTerm.String(),
			StoodBy:   r.StandbyTerm.String(),
			AnswerAge: moment{}.age(now),
		}
		if reply, replied := f.reply(incarnationOf(r)); replied {
			d.AnswerAge = momentAt(reply.at).age(now)
			d.SettledTerm = reply.settled.String()
			d.DisconnectedTerm = reply.disconnected.String()
			for _, a := range reply.askedStandbys {
				d.Asked = append(d.Asked, string(a.Run.Node)+"/"+string(a.Run.Boot)+" in "+a.Term.String())
			}
		}
		list = append(list, d)
	}
	return list
}

func (m *Member) dumpServers(now time.Duration) []ServerDump {
	var list []ServerDump
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[id]
		list = append(list, ServerDump{
			ID:         id,
			Boot:       s.boot(),
			Generation: s.generation,
			Reported:   s.reported,
			Shards:     len(s.list),
			Failures:   s.failures,
			Acked:      s.acked,
			LeaseLeft:  max(0, fromWall(s.granter.Until())-now).String(),
			Draining:   s.draining,
			Refused:    s.refused,

			HighestTerm: s.highest.String(),
		})
	}
	return list
}

func (s *standbyState) dump(now time.Duration) StandbyDump {
	return StandbyDump{
		Mode:        s.mode.String(),
		ModeRound:   s.modeRound,
		Settled:     s.settled,
		HeardAge:    s.lastHeartbeat.age(now),
		PromiseLeft: max(0, s.promisedUntil.at-now).String(),
		Activated:   len(s.activated),
	}
}

func texts(ids []topo.ShardID) []string {
	var list []string
	for _, id := range ids {
		list = append(list, id.String())
	}
	return list
}

// age formats the time since the moment.
func (m moment) age(now time.Duration) string {
	if !m.set {
		return "never"
	}
	return (now - m.at).String()
}
