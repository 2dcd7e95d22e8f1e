package ticket

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/topo"
)

var noon = time.Unix(1_700_000_000, 0)

func requestOf(t Ticket) Request { return Request{Ticket: t, Subject: t.Subject, Fingerprint: 1} }

func answerOf(text string) *Answer { return &Answer{Status: 200, Body: []byte(text)} }

func TestRecordVerdicts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRecord(DefaultLimits())
	ticket := sample()
	begin := func(req Request, scope Scope) Verdict {
		verdict, _ := r.Begin(req, scope, noon)
		return verdict
	}
	other := requestOf(ticket)
	other.Subject++
	g.Expect(begin(other, ticket.Scope)).To(gomega.Equal(Mismatch))
	g.Expect(begin(requestOf(ticket), FenceScope(topo.MakeFence(40, 0)))).To(gomega.Equal(Stale))
	g.Expect(begin(requestOf(ticket), FenceScope(topo.MakeFence(50, 0)))).To(gomega.Equal(Stale))
	g.Expect(begin(requestOf(ticket), TermScope(topo.MakeTerm(41, 1)))).To(gomega.Equal(Stale))

	g.Expect(begin(requestOf(ticket), ticket.Scope)).To(gomega.Equal(Run))
	g.Expect(begin(requestOf(ticket), ticket.Scope)).To(gomega.Equal(Duplicate))
	r.Abandon(ticket)
	g.Expect(begin(requestOf(ticket), ticket.Scope)).To(gomega.Equal(Run))
	r.Finish(ticket, answerOf("done"), noon)
	r.Abandon(ticket)

	verdict, answer := r.Begin(requestOf(ticket), FenceScope(topo.MakeFence(50, 0)), noon)
	g.Expect(verdict).To(gomega.Equal(Replay), "also after a change of ownership")
	g.Expect(string(answer.Body)).To(gomega.Equal("done"))
	elsewhere := requestOf(ticket)
	elsewhere.Fingerprint++
	g.Expect(begin(elsewhere, ticket.Scope)).To(gomega.Equal(Mismatch))
}

func TestDiscardedAnswersAreGone(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRecord(Limits{Tickets: 10, AnswerBytes: 8, AnswerSize: 6, Issuers: 4, Age: time.Minute})
	tickets := make([]Ticket, 4)
	for i, body := range []string{"", "toolong", "first", "second"} {
		tickets[i] = sample()
		tickets[i].Sequence = uint64(i + 1)
		verdict, _ := r.Begin(requestOf(tickets[i]), tickets[i].Scope, noon)
		g.Expect(verdict).To(gomega.Equal(Run))
		if body == "" {
			r.Finish(tickets[i], nil, noon)
			continue
		}
		r.Finish(tickets[i], answerOf(body), noon)
	}
	for i, want := range []Verdict{Gone, Gone, Gone, Replay} {
		verdict, _ := r.Begin(requestOf(tickets[i]), tickets[i].Scope, noon)
		g.Expect(verdict).To(gomega.Equal(want), "ticket %d", i)
	}
	g.Expect(r.Dump().AnswerBytes).To(gomega.Equal(len("second")))
}

func TestDroppedTicketsStayStale(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRecord(Limits{Tickets: 10, AnswerBytes: 100, AnswerSize: 10, Issuers: 4, Age: time.Minute})
	ticket := sample()
	r.Begin(requestOf(ticket), ticket.Scope, noon)
	r.Finish(ticket, answerOf("x"), noon)
	later := noon.Add(time.Minute + 1)
	for range 2 {
		verdict, _ := r.Begin(requestOf(ticket), ticket.Scope, later)
		g.Expect(verdict).To(gomega.Equal(Stale))
	}
	next := ticket
	next.Sequence++
	verdict, _ := r.Begin(requestOf(next), next.Scope, later)
	g.Expect(verdict).To(gomega.Equal(Run))
}

// site simulates the successive owners of one key, each with its own record.
// Tickets reach any of them at any time and in any order.
type site struct {
	records map[int]*Record
	fence   topo.Fence // in force
	owner   int
	now     time.Time
	issuers []*Source
	issued  []Ticket
	running map[Ticket]int // owner that runs it
	ran     map[Ticket]string
}

func newSite() *site {
	s := &site{
		records: map[int]*Record{}, now: noon, fence: topo.MakeFence(1, 0),
		running: map[Ticket]int{}, ran: map[Ticket]string{},
	}
	s.restart(0)
	s.restart(1)
	s.newIssuer()
	return s
}

func (s *site) restart(server int) {
	s.records[server] = NewRecord(Limits{Tickets: 2, AnswerBytes: 30, AnswerSize: 20, Issuers: 1, Age: time.Minute})
	for ticket, owner := range s.running {
		if owner == server {
			delete(s.running, ticket)
		}
	}
}

func (s *site) move(to int) {
	s.fence = topo.MakeFence(s.fence.Offset+1, 0)
	s.owner = to
}

func (s *site) newIssuer() {
	n := len(s.issuers)
	// Starts of issuers may fall into the same millisecond.
	issuer := Issuer{Node: "n", Boot: topo.BootID(fmt.Sprint("b", n)), StartMillis: int64(n / 2)}
	source, err := NewSource(issuer, func() uint64 { return uint64(n) })
	if err != nil {
		panic(err)
	}
	s.issuers = append(s.issuers, source)
}

// send sends a ticket to the owner in force.
func (s *site) send(t *rapid.T, ticket Ticket) {
	verdict, answer := s.records[s.owner].Begin(requestOf(ticket), FenceScope(s.fence), s.now)
	_, ran := s.ran[ticket]
	switch verdict {
	case Run:
		if ran {
			t.Fatalf("%v runs again", ticket)
		}
		s.ran[ticket] = fmt.Sprint("answer ", len(s.ran))
		s.running[ticket] = s.owner
	case Replay:
		if string(answer.Body) != s.ran[ticket] {
			t.Fatalf("%v was answered %q, replayed %q", ticket, s.ran[ticket], answer.Body)
		}
	case Mismatch:
		t.Fatalf("%v rejected as a ticket of another request", ticket)
	}
}

// finish ends the execution of a ticket. tookEffect is false when the server finds
// that the execution had no effect.
func (s *site) finish(ticket Ticket, owner int, tookEffect bool) {
	delete(s.running, ticket)
	if !tookEffect {
		delete(s.ran, ticket)
		s.records[owner].Abandon(ticket)
		return
	}
	s.records[owner].Finish(ticket, answerOf(s.ran[ticket]), s.now)
}

func (s *site) anyRunning(t *rapid.T) (Ticket, int) {
	for _, ticket := range s.issued {
		if owner, is := s.running[ticket]; is {
			return ticket, owner
		}
	}
	t.Skip("nothing is being run")
	return Ticket{}, 0
}

func TestNoTicketRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				source := s.issuers[rapid.IntRange(0, len(s.issuers)-1).Draw(t, "issuer")]
				ticket := source.Issue(FenceScope(s.fence), "svc", "k")
				s.issued = append(s.issued, ticket)
				if rapid.Bool().Draw(t, "at once") {
					s.send(t, ticket)
				}
			},
			"whole request": func(t *rapid.T) {
				ticket := rapid.SampledFrom(s.issuers).Draw(t, "issuer").Issue(FenceScope(s.fence), "svc", "k")
				s.issued = append(s.issued, ticket)
				s.send(t, ticket)
				if owner, is := s.running[ticket]; is {
					s.finish(ticket, owner, true)
				}
			},
			"send": func(t *rapid.T) {
				if len(s.issued) == 0 {
					t.Skip("no ticket")
				}
				s.send(t, rapid.SampledFrom(s.issued).Draw(t, "ticket"))
			},
			"finish": func(t *rapid.T) {
				ticket, owner := s.anyRunning(t)
				s.finish(ticket, owner, rapid.IntRange(0, 3).Draw(t, "took effect") > 0)
			},
			"move":    func(t *rapid.T) { s.move(rapid.IntRange(0, 1).Draw(t, "to")) },
			"restart": func(t *rapid.T) { s.restart(1 - s.owner) },
			"owner restarts": func(*rapid.T) {
				s.restart(s.owner)
				s.move(s.owner)
			},
			"new issuer":  func(*rapid.T) { s.newIssuer() },
			"time passes": func(t *rapid.T) { s.now = s.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "s")) * time.Second) },
		})
	})
}
