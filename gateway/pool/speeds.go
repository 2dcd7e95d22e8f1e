package pool

import (
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Speeds is what a pool knows of the speeds of its servers, for operators.
type Speeds struct {
	Guided bool `json:"guided"` // whether they are used
	// Age is how old the guidance is, in seconds; 0: there is none.
	Age         float64                     `json:"ageSeconds"`
	MeanWork    float64                     `json:"meanWorkSeconds"` // of the requests that this node sends
	Utilization float64                     `json:"utilization"`     // that answers report; 0: none does
	Wait        float64                     `json:"meanWait"`        // at servers, in service times of mean work
	LearnedWork map[string]float64          `json:"learnedWorkSeconds,omitempty"`
	Servers     map[site.ServerID]SpeedUsed `json:"servers,omitempty"`
}

// SpeedUsed is the relative service time of one server: by the guidance, by this node's recent answers and their weighted
// number, and the one that is used.
type SpeedUsed struct {
	Guided  float64 `json:"guided"`
	Own     float64 `json:"own,omitempty"`
	Answers float64 `json:"answers,omitempty"`
	Used    float64 `json:"used"`
	// Concurrency is the number of running requests that the server takes well; 0: all of its slots.
	Concurrency int `json:"concurrency,omitempty"`
}

// Speeds returns the speeds that are used now: those of servers that the guidance names or that have answered lately.
func (p *Pool) Speeds(now time.Time) Speeds {
	s := Speeds{Guided: p.isGuided(now)}
	if !p.guided.receivedAt.IsZero() {
		s.Age = now.Sub(p.guided.receivedAt).Seconds()
	}
	if !s.Guided {
		return s
	}
	s.MeanWork, s.Utilization, s.Wait = p.meanWork(), p.spread.utilization, p.usage.wait
	s.LearnedWork = maps.Clone(p.usage.work)
	s.Servers = map[site.ServerID]SpeedUsed{}
	for _, m := range p.order {
		answers := m.speed.answers * decay(now.Sub(m.speed.at), answerHalfLife)
		if m.speed.isListed || answers >= minShownAnswers || m.concurrency > 0 {
			s.Servers[m.ID] = SpeedUsed{Guided: m.speed.guided, Own: m.speed.mean, Answers: answers, Used: m.relative(now), Concurrency: m.concurrency}
		}
	}
	return s
}

// minShownAnswers is the weighted number of answers from which on a server is shown that the guidance does not name.
const minShownAnswers = 0.5

// IsGuided reports whether the speeds and work of the guidance are used.
func (p *Pool) IsGuided(now time.Time) bool { return p.isGuided(now) }

// SpeedOf returns the relative service time of a server and the age of the guidance. isGuided is false if they are not used.
func (p *Pool) SpeedOf(id site.ServerID, now time.Time) (relative float64, age time.Duration, isGuided bool) {
	m := p.members[id]
	if m == nil || !p.isGuided(now) {
		return 0, 0, false
	}
	return m.relative(now), now.Sub(p.guided.receivedAt), true
}
